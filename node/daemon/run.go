package daemon

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/go-logr/logr"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/policy"
	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
	"flamingohall.example/node/settings"
	"flamingohall.example/platform"
)

// processorsVariable is the variable of the Go runtime with which an operator overrides node.processors.
const processorsVariable = "GOMAXPROCS"

// limitProcessors bounds the processors in use, unless the environment sets a bound.
func limitProcessors(count int) {
	if os.Getenv(processorsVariable) == "" && count < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(count)
	}
}

// Run runs the process until a signal stops it.
func (c *runCommand) Run() error {
	file, err := settings.Read(c.File)
	if err != nil {
		return err
	}
	out := newAsyncWriter(os.Stderr)
	defer out.Close()
	out.publish(metrics.NewRole("process", file.Node.ID))
	logger := newLogger(file, out)
	limitProcessors(file.Node.Processors)
	limitMemory(file.Node)
	events.ProcessStarting.Log(logger, "version", Version, "settings", c.File, "processors", runtime.GOMAXPROCS(0))
	return runProcess(logger, func() (*process, error) { return newProcess(file, logger) })
}

// smallHeapGrowthPercent is the growth of the heap that triggers a garbage collection on a small machine. The live heap is
// a few megabytes, so frequent collections are cheap.
const smallHeapGrowthPercent = 25

// callerHeapGrowthPercent is the same for a process that serves callers. Each request allocates tens of kilobytes, so that the heap of a
// few megabytes would be collected several times a second, and each collection delays all requests of a VM with a fifth of a core.
const callerHeapGrowthPercent = 200

func heapGrowthPercent(servesCallers bool) int {
	if servesCallers {
		return callerHeapGrowthPercent
	}
	return smallHeapGrowthPercent
}

// growthVariable is the variable of the Go runtime with which an operator overrides smallHeapGrowthPercent.
const growthVariable = "GOGC"

// memoryVariable is the variable of the Go runtime with which an operator overrides the limit that limitMemory sets.
const memoryVariable = "GOMEMLIMIT"

// limitMemory makes the runtime collect garbage more often as the process approaches its memory, unless the environment sets a limit. Of the
// memory, an eighth is left for the kernel's buffers of connections, and a quarter for the pages of the binary, the C library and whatever else
// the runtime doesn't count.
func limitMemory(node settings.Node) {
	if os.Getenv(memoryVariable) == "" {
		debug.SetMemoryLimit(node.Intake().Memory / 8 * 5)
	}
}

// readPolicy returns the policy that the command line contains or names, or the default.
func (c *platformCommand) readPolicy() (policy.Policy, error) {
	switch {
	case c.Policy == "":
		return policy.Default(), nil
	case strings.HasPrefix(c.Policy, "{"):
		return policy.Read(strings.NewReader(c.Policy))
	}
	file, err := os.Open(c.Policy)
	if err != nil {
		return policy.Policy{}, fault.New(fault.NotFound, "name a policy file that exists", "%v", err)
	}
	defer func() { _ = file.Close() }()
	return policy.Read(file)
}

// Run runs the roles that the platform's settings ask for.
func (c *platformCommand) Run() error {
	loaded, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	decisions, err := c.readPolicy()
	if err != nil {
		return err
	}
	if os.Getenv(growthVariable) == "" {
		debug.SetGCPercent(heapGrowthPercent(loaded.ServesCallers()))
	}
	file := loaded.File()
	limitMemory(file.Node)
	out := newAsyncWriter(os.Stdout)
	defer out.Close()
	out.publish(metrics.NewRole("process", file.Node.ID))
	logger := newLogger(file, out)
	events.ProcessStarting.Log(logger, "version", Version, "name", loaded.NodeName, "processors", runtime.GOMAXPROCS(0))
	return runProcess(logger, func() (*process, error) {
		return newProcessOf(file, logger, func() ([]namedRole, error) {
			var roles []namedRole
			built, err := platform.Roles(loaded, decisions, file, logger)
			for _, r := range built {
				roles = append(roles, namedRole{name: r.Name, role: r.Duty})
			}
			return roles, err
		})
	})
}

// runProcess creates a process and runs it until SIGTERM or SIGINT.
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
