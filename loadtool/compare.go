package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/loadtool/comparer"
)

const (
	defaultQueries = 2000
	defaultWorkers = 4
)

func newCompareCommand() *cli.Command {
	return &cli.Command{
		Name:  "compare",
		Usage: "measure what the tier adds to direct calls of the targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Required: true, Usage: "caller `ADDRESS` of the gateway"},
			&cli.StringSliceFlag{Name: "admin", Required: true, Usage: "admin `ADDRESS` of each gateway and relay"},
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "`ADDRESS` of each target of the service"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "`NAME` of the service"},
			&cli.IntFlag{Name: "queries", Value: defaultQueries, Usage: "queries on each way"},
			&cli.IntFlag{Name: "workers", Value: defaultWorkers, Usage: "callers, each with one query at a time"},
		},
		Action: compare,
	}
}

func compare(ctx context.Context, command *cli.Command) error {
	config := comparer.Config{
		Service: command.String("service"),
		Queries: command.Int("queries"),
		Workers: command.Int("workers"),
	}
	var err error
	if config.Gateway, err = netip.ParseAddrPort(command.String("gateway")); err != nil {
		return merry.Prepend(err, "gateway")
	}
	if err := replaceAddresses(&config.Admin, command.StringSlice("admin")); err != nil {
		return merry.Prepend(err, "admin")
	}
	if err := replaceAddresses(&config.Targets, command.StringSlice("target")); err != nil {
		return merry.Prepend(err, "target")
	}
	r, err := comparer.Run(ctx, config)
	if err != nil {
		return merry.Prepend(err, "compare")
	}
	fmt.Printf("queries %d, sub-requests %d, incomplete %d\n", r.Queries, r.SubRequests, r.Incomplete)
	fmt.Printf("direct p50 %s p99 %s\n", r.Direct.P50, r.Direct.P99)
	fmt.Printf("tier   p50 %s p99 %s\n", r.Tier.P50, r.Tier.P99)
	fmt.Printf("gateways and relays: %s processor time and %.0f allocations per sub-request\n", r.CPU, r.Allocations)
	return nil
}
