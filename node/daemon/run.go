package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
)

// Run runs the process until it is asked to stop.
func (c *runCommand) Run() error {
	file, err := settings.Read(c.File)
	if err != nil {
		return err
	}
	logger := newLogger(file, os.Stderr)
	events.ProcessStarting.Log(logger, "version", Version, "settings", c.File)
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
