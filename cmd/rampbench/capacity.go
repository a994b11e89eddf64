package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/capac"
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of the control plane of a data centre for several numbers of hosts",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Value: []int{8, 16, 32, 64, 128}, Usage: "the numbers of hosts"},
			&cli.DurationFlag{Name: "duration", Value: 120 * time.Second, Usage: "the virtual time simulated for each number of hosts"},
			&cli.DurationFlag{Name: "edit-every", Value: 10 * time.Second, Usage: "the interval between edits; 950 edits a day are 91s"},
			&cli.Float64Flag{Name: "loss", Value: 0.05, Usage: "the ratio of messages between hosts that are lost"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print JSON, one object per line"},
		},
		Action: capacity,
	}
}

func capacity(_ context.Context, c *cli.Command) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer table.Flush()
	if !c.Bool("json") {
		fmt.Fprintln(table, "HOSTS\tBYTES/S\tCPU SHARE\tHEAP\tPLATFORM CALLS/S\tIN FORCE P99.9")
	}
	for _, n := range c.IntSlice("hosts") {
		if n < 2 {
			return cli.Exit(fmt.Sprintf("--hosts %d must be at least 2", n), exitUsage)
		}
		row := capac.Measure(n, capac.Settings{Duration: c.Duration("duration"), EditInterval: c.Duration("edit-every"),
			LossRate: c.Float64("loss"), Seed: c.Uint64("seed")})
		if c.Bool("json") {
			if err := json.NewEncoder(os.Stdout).Encode(row); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(table, "%d\t%.0f\t%.5f\t%.0f\t%.2f\t%.2f s\n", row.Hosts, row.ControlBytesPerSecond, row.CPUFraction,
			row.HeapBytes, row.PlatformCallsPerSecond, row.InForceP999Seconds)
	}
	return nil
}
