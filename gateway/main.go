// Command jackdawcart-gateway answers the queries of callers from the targets
// behind the relays.
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
	"jackdawcart.org/gateway/runner"
)

// version is set by the linker for releases.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawcart-gateway:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "jackdawcart-gateway",
		Usage:   "answer the queries of callers",
		Version: version,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := loader.Load(c.String("settings"), loader.Gateway)
			if err != nil {
				return merry.Prepend(err, "settings")
			}
			return merry.Prepend(runner.Run(ctx, settings, version), "run")
		},
	}
}
