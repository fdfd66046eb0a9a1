package tracer_test

import (
	"context"
	"fmt"

	"jackdawcart.org/core/tracer"
)

func ExampleWithTraceparent() {
	ctx := tracer.WithTraceparent(context.Background(), "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	fmt.Println(tracer.Traceparent(ctx))
	// Output: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01
}
