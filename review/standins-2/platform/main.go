// Command standins2 runs the cases of the second review: it starts the system's own processes with the commands of the deploy
// file, on loopback addresses, beside stand-ins for workers, clients and the operator.
//
//	standins2 CASE RECORD
//
// The cases soak, soakbe, deadly, fuzz and httpfuzz are for use by hand: they look for faults and are no cases of the review.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// broken, held and couldNot are the exit codes.
const (
	held = iota
	broken
	couldNot
)

var cases = map[string]func(c *cluster, trouble bool) int{}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins2 CASE RECORD")
		os.Exit(couldNot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

var sizes = map[string][3]int{}

func runCase(name, file string) int {
	record := newRecorder()
	size, found := sizes[name]
	if !found {
		size = [3]int{3, 2, 3}
	}
	c, err := newCluster(record, size[0], size[1], size[2])
	if err != nil {
		fmt.Println("could not run:", err)
		return couldNot
	}
	defer c.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		c.stop()
		os.Exit(couldNot)
	}()
	defer func() { _ = record.write(file) }()
	if err := c.start(configuration(1, host, prefix, 2)); err != nil {
		fmt.Println("could not run:", err)
		return couldNot
	}
	began := time.Now()
	code := cases[name](c, os.Getenv("TROUBLE") != "0")
	fmt.Printf("%s: exit %d after %.1f s\n", name, code, time.Since(began).Seconds())
	return code
}

// say prints and records a finding.
func (c *cluster) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.record.add("finding", "", "", 0, text)
	fmt.Println(text)
}
