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
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 300
	defaultAnswerTime      = 2 * time.Millisecond
	readHeaderTimeout      = 10 * time.Second
	expiryInterval         = 50 * time.Millisecond
)

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "jackdawcart-platform",
		Usage: "serve a simulated platform: a key-value store and a VM list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7800", Usage: "`ADDRESS` of the platform protocol and of the control interface"},
			&cli.StringFlag{Name: "documents", Usage: "`DIR` of service documents to store under services/"},
			&cli.StringFlag{Name: "vms", Usage: "`FILE` with the VM list"},
			&cli.DurationFlag{Name: "vm-lag", Usage: "delay of changes to the VM list"},
			&cli.FloatFlag{Name: "reads-per-second", Value: defaultReadsPerSecond, Usage: "maximum rate of reads, 0 for no limit"},
			&cli.FloatFlag{Name: "writes-per-second", Value: defaultWritesPerSecond, Usage: "maximum rate of writes, 0 for no limit"},
			&cli.DurationFlag{Name: "answer-time", Value: defaultAnswerTime, Usage: "minimum duration of a call"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) error {
	log := logger.New(zapcore.InfoLevel, "jackdawcart-platform", command.String("listen"))
	store := storer.New()
	if err := preloadDocuments(store, command.String("documents")); err != nil {
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
	go expireLeases(ctx, store, clock.Every(expiryInterval))
	return serve(ctx, command.String("listen"), s, log)
}

// preloadDocuments stores each document of the directory under services/<name>,
// where <name> is the file name without its extension.
func preloadDocuments(store *storer.Store, directory string) error {
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

func expireLeases(ctx context.Context, store *storer.Store, ticks *timer.Subscription) {
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
	httpServer := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(zap.NewNop())}
	stop := context.AfterFunc(ctx, func() { _ = httpServer.Close() })
	defer stop()
	log.Info("serving", zap.String("address", listener.Addr().String()))
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Prepend(err, "serve")
	}
	log.Info("stopped")
	return nil
}
