package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real hosts under a seeded series of faults and check what callers are promised",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds, one after the other"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long faults come"},
			&cli.StringFlag{Name: "program", Usage: "the lagoonramp `FILE`; the default lies beside rampbench"},
			&cli.IntFlag{Name: "hosts", Value: 3}, &cli.IntFlag{Name: "servers", Value: 8}, &cli.IntFlag{Name: "callers", Value: 6},
			&cli.BoolFlag{Name: "verbose", Usage: "print the faults"},
		},
		Action: runSoak,
	}
}

func runSoak(_ context.Context, c *cli.Command) error {
	program := c.String("program")
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(own), "lagoonramp")
	}
	if c.Int("hosts") < 1 || c.Int("servers") < 4 || c.Int("callers") < 1 || c.Int("seeds") < 1 {
		return cli.Exit("--hosts, --callers and --seeds must be at least 1, --servers 4", exitUsage)
	}
	found := 0
	for seed := c.Uint64("seed"); seed < c.Uint64("seed")+uint64(c.Int("seeds")); seed++ {
		set := soak.Settings{
			Program: program, Seed: seed, Duration: c.Duration("duration"),
			Hosts: c.Int("hosts"), Servers: c.Int("servers"), Callers: c.Int("callers"), Log: os.Stderr,
		}
		if !c.Bool("verbose") {
			null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
			if err != nil {
				return err
			}
			set.Log = null
		}
		r, err := soak.Run(set)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests %v, %d findings, logs in %s\n", seed, r.Requests, r.Results, len(r.Findings), r.LogDir)
		for _, f := range r.Findings {
			fmt.Println("  ", f)
		}
		found += len(r.Findings)
	}
	if found > 0 {
		return cli.Exit(fmt.Sprintf("%d promises were broken", found), exitFound)
	}
	return nil
}
