package failuretests_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"jackdawcart.org/failuretests/launcher"
)

var binaries *launcher.Binaries

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "jackdawcart-failuretests-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	root, err := filepath.Abs("..")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if binaries, err = launcher.Build(root, directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
