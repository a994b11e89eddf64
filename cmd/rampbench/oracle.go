package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"

	"github.com/urfave/cli/v3"

	"lagoonramp.org/lagoonramp/internal/oracle"
)

func oracleCommand() *cli.Command {
	return &cli.Command{
		Name:      "oracle",
		Usage:     "compute the worth that a scheduler with full knowledge of a day would earn",
		ArgsUsage: "DAY.json...",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "the seed of the service times of requests"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runOracle,
	}
}

func runOracle(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return cli.Exit("the file of a day must be given", exitUsage)
	}
	results := map[string]oracle.Result{}
	for _, file := range c.Args().Slice() {
		day, err := readDay(file)
		if err != nil {
			return cli.Exit(fmt.Sprintf("%s: %v", file, err), exitUsage)
		}
		r := oracle.Run(day, rand.New(rand.NewPCG(c.Uint64("seed"), 0)))
		results[day.Name] = r
		if !c.Bool("json") {
			fmt.Printf("%-28s worth %.3f (a server for each request %.3f), day %.3f, worst windows %.3f, worst class %.3f\n",
				day.Name, r.Worth, r.Bound, r.Day, r.WorstWindows, r.WorstClass)
		}
	}
	if c.Bool("json") {
		return printJSON(results)
	}
	return nil
}

func readDay(file string) (*oracle.Day, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return oracle.Read(f)
}
