package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run host processes, inject faults on a seeded schedule, and check the guarantees to callers",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "the number of seeds, run one after the other"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long to inject faults"},
			&cli.StringFlag{Name: "program", Usage: "the lagoonramp executable `FILE`; by default the one in the directory of rampbench"},
			&cli.IntFlag{Name: "hosts", Value: 3}, &cli.IntFlag{Name: "servers", Value: 8}, &cli.IntFlag{Name: "callers", Value: 6},
			&cli.StringSliceFlag{Name: "fault", Usage: "inject only faults of this `NAME`; may be repeated; by default, all"},
			&cli.BoolFlag{Name: "verbose", Usage: "log each fault to standard error"},
		},
		Action: runSoak,
	}
}

func runSoak(_ context.Context, c *cli.Command) error {
	program := c.String("program")
	if program == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(executable), "lagoonramp")
	}
	if c.Int("hosts") < 1 || c.Int("servers") < 4 || c.Int("callers") < 1 || c.Int("seeds") < 1 {
		return cli.Exit("--hosts, --callers and --seeds must be at least 1, --servers 4", exitUsage)
	}
	for _, name := range c.StringSlice("fault") {
		if !slices.Contains(soak.FaultNames(), name) {
			return cli.Exit(fmt.Sprintf("there is no fault %q; the faults are: %s", name, strings.Join(soak.FaultNames(), ", ")), exitUsage)
		}
	}
	findings := 0
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+uint64(c.Int("seeds")); seed++ {
		settings := soak.Settings{
			Program: program, Seed: seed, Duration: c.Duration("duration"),
			Hosts: c.Int("hosts"), Servers: c.Int("servers"), Callers: c.Int("callers"), Faults: c.StringSlice("fault"), Log: os.Stderr,
		}
		if !c.Bool("verbose") {
			devNull, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
			if err != nil {
				return err
			}
			settings.Log = devNull
		}
		report, err := soak.Run(settings)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests %v, %d findings, logs in %s\n", seed, report.Requests, report.Results, len(report.Findings), report.LogDir)
		for _, f := range report.Findings {
			fmt.Println("  ", f)
		}
		findings += len(report.Findings)
	}
	if findings > 0 {
		return cli.Exit(fmt.Sprintf("%d guarantees were violated", findings), exitFindings)
	}
	return nil
}
