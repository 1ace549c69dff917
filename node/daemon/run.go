package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"

	"flamingohall.example/node/events"
	"flamingohall.example/node/settings"
	"flamingohall.example/platform"
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
	return runProcess(logger, func() (*process, error) { return newProcess(file, logger) })
}

// smallHeapGrowth is the growth of the heap, in percent, at which a process on a small machine collects garbage. Its live
// heap is a few megabytes, so that collecting often costs little.
const smallHeapGrowth = 25

// growthVariable is the variable of the Go runtime by which an operator overrides smallHeapGrowth.
const growthVariable = "GOGC"

// Run runs the roles that the platform asks for.
func (c *platformCommand) Run() error {
	if os.Getenv(growthVariable) == "" {
		debug.SetGCPercent(smallHeapGrowth)
	}
	given, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	file := given.File()
	ring := newLineRing(os.Stdout)
	defer ring.Close()
	logger := newLogger(file, ring)
	events.ProcessStarting.Log(logger, "version", Version, "name", given.NodeName, "processors", runtime.GOMAXPROCS(0))
	return runProcess(logger, func() (*process, error) {
		return newProcessOf(file, logger, func() ([]namedRole, error) {
			var roles []namedRole
			made, err := platform.Roles(given, file, logger)
			for _, one := range made {
				roles = append(roles, namedRole{name: one.Name, role: one.Duty})
			}
			return roles, err
		})
	})
}

// runProcess makes a process and runs it until a signal asks it to stop.
func runProcess(logger logr.Logger, build func() (*process, error)) error {
	ctx, release := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer release()
	p, err := build()
	if err == nil {
		err = p.run(ctx)
	}
	if err != nil {
		events.ProcessFailed.LogError(logger, err)
	}
	return err
}
