// Command rampbench holds the stand-ins of the system's surroundings, a load
// tool and the experiments.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
	// exitFound: a soak found a broken promise.
	exitFound = 5
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
