package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
)

// processorsVariable is the variable of the Go runtime by which an operator overrides the settings.
const processorsVariable = "GOMAXPROCS"

// limitProcessors bounds the processors in use, unless the environment does.
func limitProcessors(count int) {
	if os.Getenv(processorsVariable) == "" && count < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(count)
	}
}

// Run runs the process until it is asked to stop.
func (c *runCommand) Run() error {
	file, err := settings.Read(c.File)
	if err != nil {
		return err
	}
	logger := newLogger(file, os.Stderr)
	limitProcessors(file.Node.Processors)
	events.ProcessStarting.Log(logger, "version", Version, "settings", c.File, "processors", runtime.GOMAXPROCS(0))
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	p, err := newProcess(file, logger)
	if err == nil {
		err = p.run(ctx)
	}
	if err != nil {
		events.ProcessFailed.LogError(logger, err)
	}
	return err
}
