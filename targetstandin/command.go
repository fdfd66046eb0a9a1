package main

import (
	"context"
	"errors"
	"net"
	"net/http"
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
	readHeaderTimeout = 10 * time.Second
)

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "jackdawcart-target",
		Usage: "serve stand-in targets that fail on demand",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "targets", Usage: "`FILE` that describes the targets"},
			&cli.StringFlag{Name: "documents", Usage: "`DIR` of service documents whose targets are served"},
			&cli.IntFlag{Name: "shards", Value: defaultShards, Usage: "shards of each set with --documents"},
			&cli.DurationFlag{Name: "service-time", Usage: "median service time with --documents"},
			&cli.FloatFlag{Name: "straggler-share", Usage: "share of slow requests with --documents"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:7900", Usage: "control `ADDRESS`"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	log := logger.New(zapcore.InfoLevel, "jackdawcart-target", command.String("control"))
	description, err := describe(command)
	if err != nil {
		return merry.Prepend(err, "describe targets")
	}
	targets, err := start(description, log)
	defer closeAll(targets)
	if err != nil {
		return merry.Prepend(err, "start targets")
	}
	return control(ctx, command.String("control"), targets, log)
}

func describe(command *cli.Command) (*describer.Description, error) {
	if file := command.String("targets"); file != "" {
		return describer.Load(file)
	}
	directory := command.String("documents")
	if directory == "" {
		return nil, errors.New("give --targets or --documents")
	}
	description, err := describer.LoadDocuments(directory, command.Int("shards"))
	if err != nil {
		return nil, err
	}
	for i := range description.Targets {
		st := &description.Targets[i].ServiceTime
		if median := command.Duration("service-time"); median > 0 {
			st.Median = describer.Duration(median)
		}
		st.StragglerShare = command.Float("straggler-share")
	}
	return description, nil
}

func start(description *describer.Description, log *zap.Logger) ([]*simulator.Target, error) {
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

func closeAll(targets []*simulator.Target) {
	for _, t := range targets {
		_ = t.Close()
	}
}

func control(ctx context.Context, address string, targets []*simulator.Target, log *zap.Logger) error {
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
