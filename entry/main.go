// Command jackdawcart-entry serves callers on an entry VM of the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/entry/runner"
	"jackdawcart.org/platform/decoder"
)

// version is set by the linker in release builds.
var version = "development"

func main() {
	// Without a handler, a reload signal during startup would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command(reload).Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "jackdawcart-entry:", err)
		os.Exit(1)
	}
}

func command(reload <-chan os.Signal) *cli.Command {
	files := []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "own settings `FILE`"},
		&cli.StringFlag{
			Name: "platform", Usage: "settings `FILE` that the platform writes",
			Sources: cli.EnvVars(decoder.SettingsVariable), Required: true,
		},
	}
	return &cli.Command{
		Name:    "jackdawcart-entry",
		Usage:   "answer callers on an entry VM",
		Version: version,
		Commands: []*cli.Command{
			{Name: "serve", Usage: "answer callers until SIGTERM", Flags: files, Action: func(ctx context.Context, c *cli.Command) error {
				return serve(ctx, c, reload)
			}},
			{Name: "check", Usage: "check the settings files and end", Flags: files, Action: check},
		},
	}
}

func serve(ctx context.Context, c *cli.Command, reload <-chan os.Signal) error {
	files := runner.Files{Own: c.String("settings"), Platform: c.String("platform")}
	return merry.Prepend(runner.Run(ctx, files, reload, version), "serve")
}

func check(_ context.Context, c *cli.Command) error {
	own, err := configurer.Load(c.String("settings"))
	if err != nil {
		return merry.Prepend(err, "own settings")
	}
	platform, err := decoder.LoadSettings(c.String("platform"))
	if err != nil {
		return merry.Prepend(err, "settings of the platform")
	}
	return merry.Prepend(own.CheckPorts(platform.FirstPort, platform.LastPort, platform.QuotaWindow > 0), "own settings")
}
