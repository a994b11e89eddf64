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
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long load is made"},
			&cli.BoolFlag{Name: "marked", Usage: "run the path of the users' platform: packets with marks, servers that answer directly"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as one JSON object"},
		},
		Action: runDemo,
	}
}

const minDemo = 8 * time.Second

func runDemo(ctx context.Context, c *cli.Command) error {
	d := c.Duration("duration")
	if d < minDemo {
		return cli.Exit(fmt.Sprintf("--duration must be at least %v, not %v", minDemo, d), exitUsage)
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
	if broken := r.Violations(); len(broken) > 0 {
		return cli.Exit("broken promises: "+strings.Join(broken, "; "), exitBroken)
	}
	return nil
}
