package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jackdawcart.org/core/logger"
	"jackdawcart.org/core/timer"
	"jackdawcart.org/platformstandin/server"
	"jackdawcart.org/platformstandin/storer"
)

const (
	defaultReads      = 2000
	defaultWrites     = 300
	defaultAnswerTime = 2 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	expiryPeriod      = 50 * time.Millisecond
)

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "jackdawcart-platform",
		Usage: "serve a stand-in of the platform's key-value store and VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7800", Usage: "`ADDRESS` of the platform protocol and of the control interface"},
			&cli.StringFlag{Name: "documents", Usage: "`DIR` of service documents that are stored under services/"},
			&cli.StringFlag{Name: "vms", Usage: "`FILE` with the VM list"},
			&cli.DurationFlag{Name: "vm-lag", Usage: "lag of the VM list"},
			&cli.FloatFlag{Name: "reads-per-second", Value: defaultReads, Usage: "limit of reads, 0 for none"},
			&cli.FloatFlag{Name: "writes-per-second", Value: defaultWrites, Usage: "limit of writes, 0 for none"},
			&cli.DurationFlag{Name: "answer-time", Value: defaultAnswerTime, Usage: "least time that a call takes"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	log := logger.New(zapcore.InfoLevel, "jackdawcart-platform", command.String("listen"))
	store := storer.New()
	if err := preload(store, command.String("documents")); err != nil {
		return merry.Prepend(err, "preload documents")
	}
	limits := server.Limits{
		ReadsPerSecond:  command.Float("reads-per-second"),
		WritesPerSecond: command.Float("writes-per-second"),
		AnswerTime:      command.Duration("answer-time"),
	}
	s := server.New(store, limits, command.Duration("vm-lag"), log)
	if err := loadVMs(s, command.String("vms")); err != nil {
		return merry.Prepend(err, "load the VM list")
	}
	clock := timer.NewService()
	defer clock.Close()
	go expire(ctx, store, clock.Every(expiryPeriod))
	return serve(ctx, command.String("listen"), s, log)
}

// preload stores each document of the directory under services/<name>, where
// the name is the file's without its extension.
func preload(store *storer.Store, directory string) error {
	if directory == "" {
		return nil
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		extension := filepath.Ext(entry.Name())
		if extension != ".json" && extension != ".jsonc" {
			continue
		}
		text, err := os.ReadFile(filepath.Join(directory, entry.Name()))
		if err != nil {
			return err
		}
		key := "services/" + strings.TrimSuffix(entry.Name(), extension)
		if _, err := store.Put(time.Now(), key, string(text), 0, ""); err != nil {
			return merry.Prepend(err, key)
		}
	}
	return nil
}

func loadVMs(s *server.Server, path string) error {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	list, err := server.ParseVMs(text)
	if err != nil {
		return err
	}
	s.SetVMs(list)
	return nil
}

func expire(ctx context.Context, store *storer.Store, ticks *timer.Subscription) {
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			store.Expire(now)
		case <-ctx.Done():
			return
		}
	}
}

func serve(ctx context.Context, address string, s *server.Server, log *zap.Logger) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prepend(err, "listen")
	}
	web := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(zap.NewNop())}
	stop := context.AfterFunc(ctx, func() { _ = web.Close() })
	defer stop()
	log.Info("serving", zap.String("address", listener.Addr().String()))
	if err := web.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve")
	}
	log.Info("stopped")
	return nil
}
