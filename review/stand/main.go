//go:build review

// Command stand runs the cases of the second review as scripts. Each case starts the
// lagoonramp program of the deploy file as host processes among the project's
// stand-ins of the platform, and judges by what callers and servers see.
//
// The exit code is 1 if the rule of the case was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// cases maps the names of cases to the functions that run them. A function reports
// whether the rule was broken.
var cases = map[string]func(*record) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		os.Exit(exitCannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	broken, err := cases[os.Args[1]](r)
	code := exitHeld
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		code = exitCannotRun
	case broken:
		r.printf("result: the rule was BROKEN")
		code = exitBroken
	default:
		r.printf("result: the rule held")
	}
	r.close()
	os.Exit(code)
}

// hasTrouble reports whether the case is to run with its disruption.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
