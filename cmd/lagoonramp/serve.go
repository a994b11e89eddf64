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

func serve(_ context.Context, c *cli.Command) error {
	set, err := setup.Load(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), exitUsage)
	}
	sink := logs.NewSink(os.Stdout)
	defer sink.Close()
	log, err := logs.New(sink, set.Log.Level, set.Log.Format)
	if err != nil {
		return err
	}
	h, err := newHost(set, log, sink)
	if err != nil {
		return err
	}
	soft, stopSoft := context.WithCancel(context.Background())
	hard, stopHard := context.WithCancel(context.Background())
	defer stopSoft()
	defer stopHard()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go reloadLoop(reload, c.String("settings"), log)
	go func() {
		<-signals
		stopSoft()
		<-signals
		stopHard()
	}()
	return h.Run(soft, hard)
}

// runner is a host of either kind.
type runner interface {
	// Run serves until soft ends, then shuts down gracefully; it returns at
	// once when hard ends.
	Run(soft, hard context.Context) error
}

// newHost makes the host that the settings ask for.
func newHost(set *setup.Settings, log *zap.Logger, sink *logs.Sink) (runner, error) {
	if set.Marked == nil {
		return host.New(set, log)
	}
	m := set.Marked
	return marked.New(&marked.Settings{
		Name: set.Name, DataCentre: set.DataCentre,
		PacketAddress: netip.MustParseAddrPort(m.Packets), ReadinessAddress: netip.MustParseAddrPort(m.Ready),
		PeerAddress: netip.MustParseAddrPort(m.Peer), Seeds: m.SeedAddresses(),
		FlowLifetime: m.FlowLifetimeOrDefault(), ShutdownTimeout: m.GraceOrDefault(),
		AdminAddress: m.Admin, DroppedLogLines: sink.Dropped,
		Codec: platform.Codec{}, Store: platform.NewStore(m.Store), Decoder: platform.Decoder{},
		ReadinessHandler: platform.ReadinessHandler,
	}, log)
}

// reloadLoop checks the settings again at each signal. All settings of a host
// are bound to its sockets, so changes are in force after a restart.
func reloadLoop(signals <-chan os.Signal, path string, log *zap.Logger) {
	for range signals {
		if _, err := setup.Load(path); err != nil {
			log.Error("serve: the changed settings are wrong, the former ones stay in force", zap.Error(err))
			continue
		}
		log.Info("serve: the settings were read again; changed ones are in force after a restart")
	}
}
