package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/demo"
	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/pkg/store"
)

// signalContext returns a context that is cancelled by SIGTERM or SIGINT.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7900", Usage: "the `ADDRESS` to listen on"},
			&cli.DurationFlag{Name: "delay", Usage: "the delay of each call"},
			&cli.IntFlag{Name: "rate", Usage: "the maximum number of calls per second; more are refused"},
			&cli.StringSliceFlag{Name: "host", Usage: "an entry of the list of hosts, as `NAME,DATACENTRE,PEER`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			p := fakes.NewPlatform()
			p.SetFaults(fakes.PlatformFaults{Delay: c.Duration("delay"), CallsPerSecond: c.Int("rate")})
			var hosts []store.Host
			for _, h := range c.StringSlice("host") {
				parts := strings.Split(h, ",")
				if len(parts) != 3 {
					return cli.Exit(fmt.Sprintf("--host %q must be NAME,DATACENTRE,PEER", h), exitUsage)
				}
				hosts = append(hosts, store.Host{Name: parts[0], DataCentre: parts[1], PeerAddress: parts[2]})
			}
			p.SetHosts(hosts)
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return err
			}
			fmt.Println("platform: listening on", l.Addr())
			ctx, stop := signalContext(ctx)
			defer stop()
			s := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
			go func() { _ = s.Serve(l) }()
			<-ctx.Done()
			return s.Close()
		},
	}
}

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "run a stand-in for the fabric that sends each datagram and connection to an arbitrary host",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "back", Value: "127.0.0.1:7950", Usage: "the `ADDRESS` that receives replies of hosts"},
			&cli.StringSliceFlag{Name: "udp", Usage: "the `ADDRESS` of a udp service"},
			&cli.StringSliceFlag{Name: "tcp", Aliases: []string{"http"}, Usage: "the `ADDRESS` of a tcp or http service"},
			&cli.StringSliceFlag{Name: "host", Required: true, Usage: "a host, as `NAME=UDP,TCP`", Config: cli.StringConfig{}},
		},
		// Values such as NAME=UDP,TCP contain a comma.
		DisableSliceFlagSeparator: true,
		Action:                    fabric,
	}
}

func fabric(ctx context.Context, c *cli.Command) error {
	var hosts []fakes.FabricHost
	for _, h := range c.StringSlice("host") {
		name, rest, ok := strings.Cut(h, "=")
		udp, tcp, hasBoth := strings.Cut(rest, ",")
		udpAddress, errUDP := netip.ParseAddrPort(udp)
		tcpAddress, errTCP := netip.ParseAddrPort(tcp)
		if !ok || !hasBoth || errUDP != nil || errTCP != nil {
			return cli.Exit(fmt.Sprintf("--host %q must be NAME=UDP,TCP with two addresses", h), exitUsage)
		}
		hosts = append(hosts, fakes.FabricHost{Name: name, UDP: udpAddress, TCP: tcpAddress})
	}
	f, err := fakes.NewFabric(c.String("back"))
	if err != nil {
		return err
	}
	defer f.Close()
	f.SetHosts(hosts)
	for flag, serve := range map[string]func(netip.AddrPort) error{"udp": f.ServeUDP, "tcp": f.ServeTCP} {
		for _, a := range c.StringSlice(flag) {
			address, err := netip.ParseAddrPort(a)
			if err != nil {
				return cli.Exit(fmt.Sprintf("--%s: %v", flag, err), exitUsage)
			}
			if err := serve(address); err != nil {
				return err
			}
		}
	}
	fmt.Println("fabric: takes answers on", f.ReturnAddress())
	ctx, stop := signalContext(ctx)
	defer stop()
	<-ctx.Done()
	return nil
}

func serverCommand() *cli.Command {
	return &cli.Command{
		Name:  "server",
		Usage: "run a stand-in for a backend server",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "the service's `NAME`"},
			&cli.StringFlag{Name: "name", Value: "server-1", Usage: "the server's `NAME`"},
			&cli.StringFlag{Name: "protocol", Value: "http", Usage: "udp, tcp or http"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "the `ADDRESS` to listen on"},
			&cli.IntFlag{Name: "slots", Value: 3, Usage: "the number of requests that run at a time; more are shed"},
			&cli.DurationFlag{Name: "short", Value: 5 * time.Millisecond, Usage: "the duration of short requests"},
			&cli.DurationFlag{Name: "long", Value: 250 * time.Millisecond, Usage: "the duration of long requests"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s := &fakes.Server{Service: c.String("service"), Name: c.String("name"), Slots: c.Int("slots"),
				ShortDuration: c.Duration("short"), LongDuration: c.Duration("long"), Runs: fakes.NewRunCounter()}
			listen, ok := map[string]func(string) (string, error){"udp": s.ServeUDP, "tcp": s.ServeTCP, "http": s.ListenHTTP}[c.String("protocol")]
			if !ok {
				return cli.Exit(fmt.Sprintf("--protocol %q must be udp, tcp or http", c.String("protocol")), exitUsage)
			}
			at, err := listen(c.String("listen"))
			if err != nil {
				return err
			}
			fmt.Println("server: listening on", at)
			ctx, stop := signalContext(ctx)
			defer stop()
			<-ctx.Done()
			s.Close()
			fmt.Printf("server: %d handled, %d shed, %d of another service\n", s.Handled(), s.Shed(), s.Misdirected())
			return nil
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send load to a service with rampbench servers and report the results of the callers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "the service's `NAME`"},
			&cli.StringFlag{Name: "protocol", Value: "http", Usage: "udp, tcp or http"},
			&cli.StringFlag{Name: "address", Required: true, Usage: "the service's `ADDRESS`"},
			&cli.IntFlag{Name: "callers", Value: 20, Usage: "the number of callers"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to send load"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: load,
	}
}

func load(ctx context.Context, c *cli.Command) error {
	ctx, stop := signalContext(ctx)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Duration("duration"))
	defer cancel()
	callers := demo.NewCallers(nil)
	service, address, count := c.String("service"), c.String("address"), c.Int("callers")
	const pause = 20 * time.Millisecond
	switch c.String("protocol") {
	case "udp":
		callers.StartDatagramFlows(ctx, count, service, address)
	case "tcp":
		callers.StartConnections(ctx, count, service, address)
	case "http":
		callers.StartRequests(ctx, count, service, address, pause)
	default:
		return cli.Exit(fmt.Sprintf("--protocol %q must be udp, tcp or http", c.String("protocol")), exitUsage)
	}
	callers.Wait()
	r := callers.Report()
	if c.Bool("json") {
		return printJSON(r)
	}
	r.Write(os.Stdout)
	return nil
}
