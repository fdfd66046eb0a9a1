package container_test

import (
	"fmt"

	"jackdawcart.org/core/container"
)

func ExampleSet() {
	s := container.NewSet("parana", "rosario")
	s.Add("santa-fe")
	s.Remove("rosario")
	fmt.Println(container.Sorted(s), s.Has("rosario"))
	// Output: [parana santa-fe] false
}

func ExampleOption() {
	limit := container.None[int]()
	fmt.Println(limit.OrElse(20), container.Some(5).OrElse(20))
	// Output: 20 5
}
