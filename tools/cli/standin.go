package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/settings"
	"flamingohall.example/node/standin"
)

// standInStopTimeout bounds how long a stopping stand-in target waits for tasks in progress.
const standInStopTimeout = 30 * time.Second

type standInCommand struct {
	ID         string        `help:"Name of the target in its results; its address by default."`
	Listen     string        `help:"Listen on this host:port; port 0 lets the kernel choose." default:"127.0.0.1:0"`
	Slots      int           `help:"Tasks run at once; others are refused." default:"8"`
	RunTime    time.Duration `name:"run" help:"Run time of a task whose payload sets none." default:"50ms"`
	Ledger     string        `help:"Append a line for each start to this file." type:"path" placeholder:"FILE"`
	FailEvery  int           `help:"Fail every n-th task; 0 none, 1 all."`
	SlowEvery  int           `help:"Slow down every n-th task; 0 none."`
	SlowFactor float64       `help:"How many times as long slowed tasks run." default:"10"`
	HangEvery  int           `help:"Let every n-th task hang until its request is closed; 0 none."`
	Delay      time.Duration `help:"Delay added before and after each task, to simulate a network."`
}

// Help returns the long help: what the stand-in serves.
func (standInCommand) Help() string {
	return `Prints the address it listens on. It serves POST /v1/tasks/ID as a target does, and POST /admin/behaviour and
GET /admin/counts for experiments.`
}

// Run serves until ctx ends, then stops after the tasks in progress.
func (c *standInCommand) Run(ctx context.Context, out io.Writer) error {
	logger := zerologr.New(new(zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr})))
	section, err := c.settings()
	if err != nil {
		return err
	}
	target, err := standin.New(*section, logger)
	if err != nil {
		return err
	}
	if err := target.Start(ctx); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(out, target.Addr()); err != nil {
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), standInStopTimeout)
	defer cancel()
	return target.Stop(stopCtx)
}

// settings returns the flags as a validated settings section.
func (c *standInCommand) settings() (*settings.StandIn, error) {
	section := settings.StandIn{
		ID: c.ID, Listen: c.Listen, Slots: c.Slots, RunMS: int(c.RunTime.Milliseconds()), Ledger: c.Ledger,
		FailEvery: c.FailEvery, SlowEvery: c.SlowEvery, SlowFactor: c.SlowFactor, HangEvery: c.HangEvery,
		DelayUS: int(c.Delay.Microseconds()),
	}
	node := settings.Node{ID: "stand-in", DataCentre: "any", Listen: c.Listen}
	text, err := json.Marshal(settings.File{Node: node, StandIn: &section})
	if err != nil {
		return nil, fault.New(fault.Malformed, "see flamingohall stand-in --help", "flags: %v", err)
	}
	file, err := settings.Parse("flags", text)
	if err != nil {
		return nil, err
	}
	return file.StandIn, nil
}
