//go:build review

// Command mild plays two cases of the second review: the lagoonramp program of the
// deploy file as host processes among small stand-ins of the platform. The stand-ins
// of requesters, servers and routers are copies of those of the first review, whose
// files stay as they are. Where the protocol leaves a choice, they take the milder one.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2
)

// program is the executable that the deploy file builds.
const program = "target/lagoonramp"

// cases maps names to the cases. A case returns the number of breaches.
var cases = map[string]func(b *bed, trouble bool) (int, error){
	"kill":    kill,
	"rolling": rolling,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: mild CASE FOLDER")
		os.Exit(exitError)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption: %v", name, trouble)
	b, err := newBed(rec, program)
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer b.close()
	breaches, err := cases[name](b, trouble)
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitError
	case breaches > 0:
		rec.line("result: the rule was broken %d times", breaches)
		fmt.Printf("%s: the rule was broken %d times\n", name, breaches)
		return exitBroken
	}
	rec.line("result: the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return exitHeld
}
