// Command jackdawctl edits service documents and inspects nodes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"jackdawcart.org/jackdawctl/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
