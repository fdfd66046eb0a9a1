// Package launcher builds the programs of this repository and runs them as
// separate processes on loopback addresses for the failure tests.
package launcher

import (
	"fmt"
	"os/exec"
	"path/filepath"
)

// Binaries holds the paths of the built programs.
type Binaries struct {
	Gateway  string
	Relay    string
	Ctl      string
	Targets  string
	Platform string
}

// Build compiles the programs of the workspace at root into directory.
func Build(root, directory string) (*Binaries, error) {
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator),
		"./gateway", "./relay", "./jackdawctl", "./targetstandin", "./platformstandin")
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("launcher: build: %w\n%s", err, output)
	}
	return &Binaries{
		Gateway:  filepath.Join(directory, "gateway"),
		Relay:    filepath.Join(directory, "relay"),
		Ctl:      filepath.Join(directory, "jackdawctl"),
		Targets:  filepath.Join(directory, "targetstandin"),
		Platform: filepath.Join(directory, "platformstandin"),
	}, nil
}
