// Command jackdawcart-relay owns connections to the targets of its failure domain
// and runs the control plane of its VM.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/loader"
	"jackdawcart.org/relay/runner"
)

// version is set by the linker in release builds.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawcart-relay:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "jackdawcart-relay",
		Usage:   "own the connections to targets of a failure domain",
		Version: version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := loader.Load(c.String("settings"), loader.Relay)
			if err != nil {
				return merry.Prepend(err, "settings")
			}
			return merry.Prepend(runner.Run(ctx, settings, version), "run")
		},
	}
}
