package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/exper"
)

// experimentNames lists all experiments.
var experimentNames = append(slices.Clone(exper.Names), exper.OverloadName)

func experimentCommand() *cli.Command {
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare the load balancer with baselines in virtual time: " + strings.Join(experimentNames, ", ") + " or all",
		ArgsUsage: "NAME",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "the number of seeds"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot as PNG to `FILE`"},
			&cli.IntFlag{Name: "servers", Value: exper.DefaultSize.Servers, Usage: "the number of backend servers"},
			&cli.IntFlag{Name: "slots", Value: exper.DefaultSize.Slots, Usage: "the number of slots of each server"},
			&cli.IntFlag{Name: "hosts", Value: exper.DefaultSize.Hosts, Usage: "the number of hosts"},
		},
		Action: experiment,
	}
}

func experiment(_ context.Context, c *cli.Command) error {
	name := c.Args().First()
	names := []string{name}
	if name == "all" {
		names = experimentNames
	}
	// The experiments crash the host at index 3, and a network partition separates
	// the hosts from index 4 on from the others.
	const minHosts = 5
	size := exper.Size{Hosts: c.Int("hosts"), Servers: c.Int("servers"), Slots: c.Int("slots")}
	switch {
	case c.Args().Len() != 1 || name != "all" && !slices.Contains(experimentNames, name):
		return cli.Exit("NAME must be one of "+strings.Join(experimentNames, ", ")+" or all", exitUsage)
	case c.Int("seeds") < 1 || size.Hosts < minHosts || size.Servers < 2 || size.Slots < 1:
		return cli.Exit("--seeds and --slots must be at least 1, --servers 2, --hosts 5", exitUsage)
	}
	for _, n := range names {
		if n == exper.OverloadName {
			if err := overloadExperiment(c); err != nil {
				return err
			}
			continue
		}
		results := exper.RunSeeds(n, size, c.Uint64("seed"), c.Int("seeds"), runtime.NumCPU())
		if file := c.String("plot"); file != "" {
			if err := exper.Plot(file, n, results); err != nil {
				return err
			}
		}
		if err := printResults(c, n, results); err != nil {
			return err
		}
	}
	return nil
}

// overloadExperiment runs the experiment on the order of held SYNs, which has a
// size and results of its own.
func overloadExperiment(c *cli.Command) error {
	size := exper.OverloadSize
	for name, value := range map[string]*int{"hosts": &size.Hosts, "servers": &size.Servers, "slots": &size.Slots} {
		if c.IsSet(name) {
			*value = c.Int(name)
		}
	}
	results := exper.RunOverloadSeeds(size, c.Uint64("seed"), c.Int("seeds"), runtime.NumCPU())
	switch {
	case !c.Bool("json"):
		exper.WriteOverloadTable(os.Stdout, results)
		return nil
	case len(results) == 1:
		return json.NewEncoder(os.Stdout).Encode(results[0])
	}
	return json.NewEncoder(os.Stdout).Encode(results)
}

// printResults prints the results of an experiment as a table or as JSON: an
// object for one seed, an array for several.
func printResults(c *cli.Command, name string, results []exper.Result) error {
	switch {
	case !c.Bool("json"):
		exper.WriteTable(os.Stdout, name, results)
		return nil
	case len(results) == 1:
		return json.NewEncoder(os.Stdout).Encode(results[0])
	}
	return json.NewEncoder(os.Stdout).Encode(results)
}

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		fmt.Println(string(data))
	}
	return err
}
