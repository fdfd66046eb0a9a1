package merger_test

import (
	"fmt"
	"testing"

	"jackdawcart.org/core/merger"
)

func ExampleRecords() {
	parts := [][]byte{
		[]byte("aaaaaaaaaaaaaaaaccccccccccccccccrest"),
		[]byte("bbbbbbbbbbbbbbbbcccccccccccccccc"),
	}
	fmt.Printf("%s\n", merger.Records(parts, 3))
	// Output: ccccccccccccccccccccccccccccccccbbbbbbbbbbbbbbbb
}

// Parts without a complete record must merge into an empty answer.
func TestNoRecords(t *testing.T) {
	if got := merger.Records([][]byte{nil, []byte("short")}, 5); len(got) != 0 {
		t.Fatalf("records %q, want none", got)
	}
}
