package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap/zapcore"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/loadtool/driver"
	"jackdawcart.org/loadtool/measurer"
	"jackdawcart.org/loadtool/reporter"
	"jackdawcart.org/loadtool/scheduler"
)

// exitViolations is the exit code if the check finds violations.
const exitViolations = 2

func newCommand() *cli.Command {
	out := &cli.StringFlag{Name: "out", Value: "out/report", Usage: "report `DIR`"}
	return &cli.Command{
		Name:  "jackdawcart-load",
		Usage: "send an open-loop load, check the answers and write reports",
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run a workload and report on it",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "workload", Required: true, Usage: "workload `FILE`"},
					&cli.StringSliceFlag{Name: "gateway", Usage: "gateway `ADDRESS`, instead of those of the workload"},
					&cli.StringSliceFlag{Name: "targets", Usage: "control `ADDRESS` of target stand-ins, instead of those of the workload"},
					&cli.StringFlag{Name: "platform", Usage: "`ADDRESS` of the platform stand-in, instead of that of the workload"},
					out,
				},
				Action: run,
			},
			{
				Name:   "report",
				Usage:  "check the record of an earlier run again and rewrite its report",
				Flags:  []cli.Flag{out},
				Action: report,
			},
			newCompareCommand(),
		},
	}
}

func run(ctx context.Context, command *cli.Command) error {
	log := logger.New(zapcore.InfoLevel, "jackdawcart-load", "caller")
	workload, err := scheduler.Load(command.String("workload"))
	if err != nil {
		return merry.Prepend(err, "load the workload")
	}
	if err := overrideAddresses(workload, command); err != nil {
		return merry.Prepend(err, "read the addresses")
	}
	clock := timer.NewService()
	defer clock.Close()
	d, err := driver.New(workload, clock, log)
	if err != nil {
		return merry.Prepend(err, "prepare the run")
	}
	result, err := d.Run(ctx)
	if err != nil {
		return merry.Prepend(err, "run the workload")
	}
	if err := reporter.SaveRun(command.String("out"), result); err != nil {
		return merry.Prepend(err, "save the record")
	}
	return writeReport(command.String("out"), result)
}

func overrideAddresses(w *scheduler.Workload, command *cli.Command) error {
	if err := replaceAddresses(&w.Gateways, command.StringSlice("gateway")); err != nil {
		return err
	}
	if err := replaceAddresses(&w.Targets, command.StringSlice("targets")); err != nil {
		return err
	}
	platform := command.String("platform")
	if platform == "" {
		return nil
	}
	var err error
	w.Platform, err = netip.ParseAddrPort(platform)
	return err
}

// replaceAddresses parses texts into addresses. It changes nothing if texts is
// empty.
func replaceAddresses(addresses *[]netip.AddrPort, texts []string) error {
	if len(texts) == 0 {
		return nil
	}
	*addresses = nil
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		*addresses = append(*addresses, address)
	}
	return nil
}

func report(_ context.Context, command *cli.Command) error {
	result, err := reporter.LoadRun(command.String("out"))
	if err != nil {
		return merry.Prepend(err, "load the record")
	}
	return writeReport(command.String("out"), result)
}

// writeReport writes and prints the report. It returns an error with the exit
// code exitViolations if the report has violations.
func writeReport(directory string, result *driver.Run) error {
	r := measurer.Measure(result)
	if err := reporter.Write(directory, r); err != nil {
		return merry.Prepend(err, "write the report")
	}
	fmt.Println(reporter.Markdown(r))
	if len(r.Violations) > 0 {
		return cli.Exit(fmt.Sprintf("%d violations; see %s", len(r.Violations), directory), exitViolations)
	}
	return nil
}
