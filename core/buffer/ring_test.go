package buffer_test

import (
	"context"
	"fmt"
	"testing"

	"jackdawcart.org/core/buffer"
)

func ExampleRing() {
	r := buffer.NewRing[string](1)
	fmt.Println(r.Put("first"), r.Put("second"))
	v, ok := r.Take(context.Background())
	fmt.Println(v, ok)
	// Output:
	// true false
	// first true
}

// Guards against a consumer that keeps waiting on an empty ring after its context
// has ended.
func TestRingTakeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := buffer.NewRing[int](1).Take(ctx); ok {
		t.Fatal("Take returned a value from an empty ring")
	}
}
