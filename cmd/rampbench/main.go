// Command rampbench runs stand-ins for the systems around lagoonramp, a load
// generator, soak tests and experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitFindings means that a soak found violated guarantees.
	exitFindings = 5
)

func main() {
	app := &cli.Command{
		Name:  "rampbench",
		Usage: "stand-ins, load and experiments for lagoonramp",
		Commands: []*cli.Command{
			platformCommand(), fabricCommand(), serverCommand(), loadCommand(), experimentCommand(), capacityCommand(), soakCommand(), oracleCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "rampbench:", err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		os.Exit(coded.ExitCode())
	}
	os.Exit(exitFailed)
}
