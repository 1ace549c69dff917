// Command lab plays the cases of the third review: it starts the project's processes on loopback addresses, with sound workers, clients
// and an operator of its own, and checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// scenario plays a case and returns the breaks of its rule. trouble is false for the run without the disruption.
type scenario func(r *record, trouble bool) (breaks []string, err error)

var scenarios = map[string]scenario{
	"resubmitted": resubmitted, "givenup": givenUp, "blocked": blocked, "alone": alone, "frozen": frozen,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(exitNoRun)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	breaks, err := scenarios[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.tell("could not run: %v", err)
		os.Exit(exitNoRun)
	}
	for n, b := range breaks {
		if n < 20 {
			r.tell("BROKEN %s", b)
		}
	}
	r.tell("%d breaks of the rule", len(breaks))
	if len(breaks) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
