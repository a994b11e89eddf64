package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/host"
	"lagoonramp.org/lagoonramp/internal/setup"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host until SIGTERM; a second signal ends it at once",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "the host's settings, a JSON `FILE`"},
		},
		Action: serve,
	}
}

func serve(_ context.Context, c *cli.Command) error {
	set, err := setup.Load(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	log, err := newLog(set.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	h, err := host.New(set, log)
	if err != nil {
		return err
	}
	soft, stopSoft := context.WithCancel(context.Background())
	hard, stopHard := context.WithCancel(context.Background())
	defer stopSoft()
	defer stopHard()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stopSoft()
		<-signals
		stopHard()
	}()
	return h.Run(soft, hard)
}

// newLog returns a log as the settings ask for. Repeated lines are sampled.
func newLog(l setup.Log) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	cfg.DisableStacktrace = true
	cfg.EncoderConfig.TimeKey = "at"
	if l.Format == "console" {
		cfg.Encoding = "console"
	}
	if l.Level != "" {
		if err := cfg.Level.UnmarshalText([]byte(l.Level)); err != nil {
			return nil, err
		}
	}
	return cfg.Build()
}
