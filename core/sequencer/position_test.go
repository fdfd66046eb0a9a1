package sequencer_test

import (
	"fmt"

	"jackdawcart.org/core/sequencer"
)

func ExamplePosition_After() {
	before := sequencer.Position{Era: 1, Revision: 52}
	afterRestore := sequencer.Position{Era: 2, Revision: 50}
	fmt.Println(afterRestore.After(before), before.After(afterRestore))
	fmt.Println(sequencer.Position{Era: 2, Revision: 51}.After(afterRestore))
	// Output:
	// true false
	// true
}
