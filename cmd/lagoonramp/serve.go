package main

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/host"
	"lagoonramp.org/lagoonramp/internal/logs"
	"lagoonramp.org/lagoonramp/internal/marked"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/pkg/warmup"
	"lagoonramp.org/lagoonramp/platform"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host until SIGTERM; a second signal ends it at once",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Required: true, Usage: "the host's settings, a JSON `FILE`",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
		},
		Action: serve,
	}
}

// serve runs a host. The first SIGTERM or SIGINT starts a graceful shutdown, the
// second one ends the host at once.
func serve(_ context.Context, c *cli.Command) error {
	settings, err := setup.Load(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	sink := logs.NewSink(os.Stdout)
	defer sink.Close()
	log, err := logs.New(sink, settings.Log.Level, settings.Log.Format)
	if err != nil {
		return err
	}
	h, err := newHost(settings, log, sink)
	if err != nil {
		return err
	}
	shutdown, startShutdown := context.WithCancel(context.Background())
	abort, startAbort := context.WithCancel(context.Background())
	defer startShutdown()
	defer startAbort()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go reloadLoop(reload, c.String("settings"), log)
	go func() {
		<-signals
		startShutdown()
		<-signals
		startAbort()
	}()
	return h.Run(shutdown, abort)
}

// runner is a host.Host or a marked.Host.
type runner interface {
	// Run serves until the context shutdown is cancelled and then shuts down
	// gracefully. It returns at once when the context abort is cancelled.
	Run(shutdown, abort context.Context) error
}

// newHost returns the host of the kind that the settings select: a marked.Host
// if Marked is set, a host.Host otherwise.
func newHost(settings *setup.Settings, log *zap.Logger, sink *logs.Sink) (runner, error) {
	if settings.Marked == nil {
		return host.New(settings, log)
	}
	m := settings.Marked
	return marked.New(&marked.Settings{
		Name: settings.Name, DataCentre: settings.DataCentre,
		PacketAddress: netip.MustParseAddrPort(m.Packets), ReadinessAddress: netip.MustParseAddrPort(m.Ready),
		PeerAddress: netip.MustParseAddrPort(m.Peer), Seeds: m.SeedAddresses(),
		FlowLifetime: m.FlowLifetimeOrDefault(), ShutdownTimeout: m.GraceOrDefault(), LinkRate: m.LinkMbps * 1e6 / 8,
		Warmup:       warmup.Settings{Overage: m.WarmupOverage, Slack: m.WarmupSlack},
		AdminAddress: m.Admin, DroppedLogLines: sink.Dropped,
		Codec: platform.Codec{}, Store: platform.NewStore(m.Store), Decoder: platform.Decoder{},
		ReadinessHandler: platform.ReadinessHandler,
	}, log)
}

// reloadLoop checks the settings file at each signal. It applies no changes:
// all settings of a host are bound to its sockets and take effect at a restart.
func reloadLoop(signals <-chan os.Signal, path string, log *zap.Logger) {
	for range signals {
		if _, err := setup.Load(path); err != nil {
			log.Error("serve: the settings file is invalid, the current settings stay in force", zap.Error(err))
			continue
		}
		log.Info("serve: the settings file is valid, changes take effect after a restart")
	}
}
