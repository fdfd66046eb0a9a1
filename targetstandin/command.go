package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/targetstandin/controller"
	"jackdawcart.org/targetstandin/describer"
	"jackdawcart.org/targetstandin/simulator"
)

const (
	defaultShards     = 8
	defaultColdFactor = 5
	readHeaderTimeout = 10 * time.Second
)

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "jackdawcart-target",
		Usage: "serve simulated targets with fault injection",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "targets", Usage: "`FILE` with the descriptions of the targets"},
			&cli.StringFlag{Name: "documents", Usage: "`DIR` of service documents whose targets are served"},
			&cli.IntFlag{Name: "shards", Value: defaultShards, Usage: "number of shards of each set with --documents"},
			&cli.StringFlag{Name: "failure-domain", Usage: "serve only the targets of this failure `DOMAIN` with --documents"},
			&cli.DurationFlag{Name: "service-time", Usage: "median service time with --documents"},
			&cli.FloatFlag{Name: "straggler-share", Usage: "share of requests that take ten times as long with --documents"},
			&cli.DurationFlag{Name: "status-lag", Usage: "delay of the status that targets report with --documents"},
			&cli.DurationFlag{Name: "cold-start", Usage: "duration of the cold start with --documents"},
			&cli.FloatFlag{Name: "cold-factor", Value: defaultColdFactor, Usage: "initial service time factor of a cold start"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:7900", Usage: "control `ADDRESS`"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	log := logger.New(zapcore.InfoLevel, "jackdawcart-target", command.String("control"))
	description, err := loadDescription(command)
	if err != nil {
		return merry.Prepend(err, "load the target descriptions")
	}
	targets, err := startTargets(description, log)
	defer closeTargets(targets)
	if err != nil {
		return merry.Prepend(err, "start targets")
	}
	return serveControl(ctx, command.String("control"), targets, log)
}

func loadDescription(command *cli.Command) (*describer.Description, error) {
	if file := command.String("targets"); file != "" {
		return describer.Load(file)
	}
	directory := command.String("documents")
	if directory == "" {
		return nil, errors.New("either --targets or --documents is required")
	}
	description, err := describer.LoadDocuments(directory, command.Int("shards"))
	if err != nil {
		return nil, err
	}
	if domain := command.String("failure-domain"); domain != "" {
		description.Targets = slices.DeleteFunc(description.Targets, func(t describer.Target) bool {
			return t.FailureDomain != domain
		})
	}
	for i := range description.Targets {
		applyFlags(&description.Targets[i], command)
	}
	return description, nil
}

// applyFlags sets the properties that service documents do not contain.
func applyFlags(t *describer.Target, command *cli.Command) {
	if median := command.Duration("service-time"); median > 0 {
		t.ServiceTime.Median = describer.Duration(median)
	}
	t.ServiceTime.StragglerShare = command.Float("straggler-share")
	t.StatusLag = describer.Duration(command.Duration("status-lag"))
	if cold := command.Duration("cold-start"); cold > 0 {
		t.ColdStart = describer.ColdStart{For: describer.Duration(cold), Factor: command.Float("cold-factor")}
	}
}

func startTargets(description *describer.Description, log *zap.Logger) ([]*simulator.Target, error) {
	var targets []*simulator.Target
	for _, d := range description.Targets {
		t, err := simulator.Start(d, log)
		if err != nil {
			return targets, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}

func closeTargets(targets []*simulator.Target) {
	for _, t := range targets {
		_ = t.Close()
	}
}

func serveControl(ctx context.Context, address string, targets []*simulator.Target, log *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prepend(err, "listen on the control address")
	}
	server := &http.Server{Handler: controller.New(targets, log).Handler(), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	log.Info("serving", zap.Int("targets", len(targets)), zap.String("control", listener.Addr().String()))
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve the control address")
	}
	log.Info("stopped")
	return nil
}
