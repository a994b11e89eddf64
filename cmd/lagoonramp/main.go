// Command lagoonramp runs an entry host of the load balancer and provides the
// operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// version is the version of the release. The build sets it.
var version = "dev"

// The exit codes of all commands.
const (
	// exitFailed: any other error.
	exitFailed = 1
	// exitUsage: the command line, a file or an edit is invalid.
	exitUsage = 2
	// exitConflict: the section was edited after the base revision of the edit.
	exitConflict = 3
	// exitNotInForce: a revision is not in force on every host.
	exitNotInForce = 4
	// exitDemoFailed: the demo violated a guarantee.
	exitDemoFailed = 5
)

func main() {
	app := &cli.Command{
		Name:    "lagoonramp",
		Usage:   "a layer-4 load balancer whose hosts need no coordinator",
		Version: version,
		Commands: []*cli.Command{
			serveCommand(), configCommand(), statusCommand(), timelineCommand(), demoCommand(), schemaCommand(), versionCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := app.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "lagoonramp:", err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		os.Exit(coded.ExitCode())
	}
	os.Exit(exitFailed)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Println("lagoonramp", version)
			return nil
		},
	}
}
