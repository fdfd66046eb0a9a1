// Program jackdawctl lets operators edit service documents and look into nodes.
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
