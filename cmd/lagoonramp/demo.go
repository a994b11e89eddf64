package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in one process on loopback and count what its callers see",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long to generate load"},
			&cli.BoolFlag{Name: "marked", Usage: "run hosts that forward packets with marks to servers that reply directly to callers"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as one JSON object"},
		},
		Action: runDemo,
	}
}

// minDemoDuration is the shortest duration that the demo accepts.
const minDemoDuration = 8 * time.Second

func runDemo(ctx context.Context, c *cli.Command) error {
	d := c.Duration("duration")
	if d < minDemoDuration {
		return cli.Exit(fmt.Sprintf("--duration must be at least %v, not %v", minDemoDuration, d), exitUsage)
	}
	run := demo.Run
	if c.Bool("marked") {
		run = demo.RunMarked
	}
	r, err := run(ctx, demo.Settings{Duration: d, Progress: os.Stderr})
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	} else {
		r.Write(os.Stdout)
	}
	if violations := r.Violations(); len(violations) > 0 {
		return cli.Exit("violated guarantees: "+strings.Join(violations, "; "), exitDemoFailed)
	}
	return nil
}
