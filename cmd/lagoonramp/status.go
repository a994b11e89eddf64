package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/wire"
)

// statusPollInterval is the delay between two requests of status --wait.
const statusPollInterval = 200 * time.Millisecond

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show all hosts, or wait until a revision is in force on all of them",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: "wait", Usage: "wait until `REVISION` is in force on every host"},
			&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Usage: "how long to wait"},
		),
		Action: status,
	}
}

// status prints the status of all hosts. With the flag wait it first polls until
// the revision is in force on all hosts or the timeout passes.
func status(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.Duration("timeout"))
	path := "/api/status?brief"
	if c.Bool("json") {
		path = "/api/status"
	}
	for {
		cluster := &wire.ClusterStatus{}
		if _, err := cl.call(ctx, http.MethodGet, path, nil, cluster); err != nil {
			return err
		}
		want := c.Uint64("wait")
		missing := hostsNotInForce(cluster, want)
		if want > 0 && len(missing) > 0 && time.Now().Before(deadline) {
			time.Sleep(statusPollInterval)
			continue
		}
		if err := printStatus(c, cluster); err != nil {
			return err
		}
		if want > 0 && len(missing) > 0 {
			return cli.Exit(fmt.Sprintf("revision %d is not in force on: %s", want, strings.Join(missing, "; ")), exitNotInForce)
		}
		return nil
	}
}

// hostsNotInForce lists the hosts on which a revision is not in force, each with
// the reason.
func hostsNotInForce(cluster *wire.ClusterStatus, revision uint64) []string {
	var out []string
	for _, h := range cluster.Hosts {
		switch {
		case h.Status == nil:
			out = append(out, h.Name+" ("+h.Error+")")
		case h.Status.Revision < revision && h.Status.Alarm != "":
			out = append(out, fmt.Sprintf("%s (refused: %s, at %d)", h.Name, h.Status.Alarm, h.Status.Revision))
		case h.Status.Revision < revision:
			out = append(out, fmt.Sprintf("%s (behind, at %d)", h.Name, h.Status.Revision))
		}
	}
	return out
}

// printStatus prints the status as a table, or as JSON with the flag json.
func printStatus(c *cli.Command, cluster *wire.ClusterStatus) error {
	if c.Bool("json") {
		return printJSON(cluster)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tDATA CENTRE\tREVISION\tFLOWS\tSEES\tSTATE")
	for _, h := range cluster.Hosts {
		if h.Status == nil {
			fmt.Fprintf(t, "%s\t%s\t?\t?\t?\t%s\n", h.Name, h.DataCentre, h.Error)
			continue
		}
		s := h.Status
		state := "serving"
		if s.Leaving {
			state = "leaving"
		}
		if s.PlatformDown {
			state += ", no platform"
		}
		if len(s.Evacuated) > 0 {
			state += ", evacuates " + strings.Join(s.Evacuated, " ")
		}
		if s.Alarm != "" {
			state += ", alarm " + s.Alarm
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", h.Name, h.DataCentre, s.Revision, s.Flows, len(s.Members), state)
	}
	return t.Flush()
}

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "print the timeline of the events of all hosts",
		Flags: clientFlags(
			&cli.DurationFlag{Name: "since", Value: 10 * time.Minute, Usage: "how far back the timeline starts"},
			&cli.StringFlag{Name: "service"}, &cli.StringFlag{Name: "kind"}, &cli.StringFlag{Name: "from", Usage: "only events of this host"},
			&cli.BoolFlag{Name: "follow", Usage: "keep printing new events"},
		),
		Action: timeline,
	}
}

// followPollInterval is the delay between two requests of timeline --follow.
const followPollInterval = time.Second

// timeline prints the events of all hosts. With the flag follow it polls for new
// ones until the command is interrupted.
func timeline(ctx context.Context, c *cli.Command) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	since := time.Now().Add(-c.Duration("since"))
	seen := map[string]uint64{}
	for {
		q := url.Values{"since": {since.Format(time.RFC3339Nano)}, "service": {c.String("service")},
			"kind": {c.String("kind")}, "host": {c.String("from")}}
		var response struct {
			Events       []event.Event `json:"events"`
			Unresponsive []string      `json:"silent"`
		}
		if _, err := cl.call(ctx, http.MethodGet, "/api/events?"+q.Encode(), nil, &response); err != nil {
			return err
		}
		if c.Bool("json") && !c.Bool("follow") {
			return printJSON(response)
		}
		for _, e := range response.Events {
			if e.Sequence <= seen[e.Host] {
				continue
			}
			seen[e.Host] = e.Sequence
			printEvent(&e)
		}
		if !c.Bool("follow") {
			for _, h := range response.Unresponsive {
				fmt.Fprintln(os.Stderr, "no response from", h)
			}
			return nil
		}
		time.Sleep(followPollInterval)
	}
}

// printEvent prints an event as one line.
func printEvent(e *event.Event) {
	parts := []string{}
	for _, p := range []string{e.Service, e.Server, e.Peer, e.Cause} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	if e.Revision > 0 {
		parts = append(parts, fmt.Sprintf("revision %d", e.Revision))
	}
	if e.Count > 1 {
		parts = append(parts, fmt.Sprintf("%d times", e.Count))
	}
	fmt.Printf("%s  %-14s %-14s %s\n", e.At.Format("15:04:05.000"), e.Host, e.Kind, strings.Join(parts, ", "))
}
