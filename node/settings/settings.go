// Package settings reads and checks the settings file of a process, which is JSON with comments. All faults of a file
// are reported together, each with its line and a remedy.
package settings

import (
	"os"
	"time"

	"flamingohall.example/core/fault"
)

// MaxFileBytes bounds the size of a settings file.
const MaxFileBytes = 1 << 20

// File is the content of a settings file. A role runs if its section is present. In host:port values the host must be an
// IP address, except in Node.Advertise.
type File struct {
	Node Node `json:"node"`
	// ControlAddresses are the host:port pairs of the control VMs.
	ControlAddresses []string `json:"control_addresses"`
	Log              Log      `json:"log"`
	Entry            *Entry   `json:"entry"`
	Sidecar          *Sidecar `json:"sidecar"`
	Control          *Control `json:"control"`
	// StandIn runs a stand-in target in this process, for development.
	StandIn *StandIn `json:"stand_in"`
}

// Node is the section that describes the process itself.
type Node struct {
	// ID is unique in the system and stays the same after a restart.
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Listen is the host:port that serves other processes of the system, metrics and health checks.
	Listen string `json:"listen"`
	// Advertise is the host:port at which other processes reach this one; it defaults to Listen.
	Advertise string `json:"advertise"`
	// StopGraceMS is how long a planned stop waits for requests in progress, in milliseconds.
	StopGraceMS int `json:"stop_grace_ms"`
	// BalancerGraceMS is how long a stopping process reports that it is not ready before its listener closes, in
	// milliseconds. Load balancers notice the stop in that time.
	BalancerGraceMS int `json:"balancer_grace_ms"`
	// Processors bounds the processors that run Go code at the same time. A low number reduces the CPU time for thread
	// wake-ups, which a sidecar takes from its target. It defaults to 2, and to all in a process that is an entry.
	Processors int `json:"processors"`
	// MemoryMB is the memory that the process may use, in MiB; it defaults to that of the machine.
	MemoryMB int `json:"memory_mb"`
	// MaxDescriptors is the number of descriptors that the process may open; it defaults to the limit that the system has set for it.
	MaxDescriptors int `json:"max_descriptors"`
}

// StopGrace returns StopGraceMS as a duration.
func (n Node) StopGrace() time.Duration {
	return time.Duration(n.StopGraceMS) * time.Millisecond
}

// BalancerGrace returns BalancerGraceMS as a duration.
func (n Node) BalancerGrace() time.Duration {
	return time.Duration(n.BalancerGraceMS) * time.Millisecond
}

// Log is the section that configures logging.
type Log struct {
	// Format is "json" or "text".
	Format string `json:"format"`
	// Level is "info" or "debug".
	Level string `json:"level"`
}

// Values of Log.
const (
	FormatJSON = "json"
	FormatText = "text"
	LevelInfo  = "info"
	LevelDebug = "debug"
)

// Defaults of the common sections.
const (
	defaultStopGraceMS     = 30_000
	defaultBalancerGraceMS = 500
	maxGraceMS             = 10 * 60 * 1000
	defaultProcessors      = 2
	maxProcessors          = 1024
	minMemoryMB            = 64
	maxMemoryMB            = 1 << 24
	minDescriptors         = 256
	maxDescriptors         = 1 << 20
)

// Read reads and checks the file at path. Its errors are *Problems or *fault.Error.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, fault.New(fault.NotFound, "name a settings file that this user can read", "settings: %v", err)
	}
	return Parse(path, text)
}

// Parse parses and checks the text of a settings file; name is used in error messages only.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		return nil, fault.New(fault.TooLarge, "shorten the file", "settings %s: over %d bytes", name, MaxFileBytes)
	}
	var file File
	check, err := decode(name, text, &file)
	if err != nil {
		return nil, err
	}
	file.fillDefaults()
	if !check.failed() {
		file.check(check)
	}
	if check.failed() {
		return nil, check.problems()
	}
	return &file, nil
}

func (f *File) fillDefaults() {
	setDefault(&f.Node.Advertise, f.Node.Listen)
	setDefault(&f.Node.StopGraceMS, defaultStopGraceMS)
	setDefault(&f.Node.BalancerGraceMS, defaultBalancerGraceMS)
	if f.Entry != nil {
		setDefault(&f.Node.Processors, maxProcessors)
	}
	setDefault(&f.Node.Processors, defaultProcessors)
	f.Node.fillLimits()
	setDefault(&f.Log.Format, FormatJSON)
	setDefault(&f.Log.Level, LevelInfo)
	if f.Entry != nil {
		f.Entry.fillDefaults()
	}
	if f.Sidecar != nil {
		f.Sidecar.fillDefaults(f.Node, f.Entry != nil)
	}
	if f.Control != nil {
		f.Control.fillDefaults()
	}
	if f.StandIn != nil {
		f.StandIn.fillDefaults()
	}
}

func (f *File) check(c *checker) {
	c.require(f.Node.ID != "", "/node/id", "is missing", "give the process a name that is unique in the system")
	c.require(f.Node.DataCentre != "", "/node/data_centre", "is missing", "name the data centre of this VM")
	c.address("/node/listen", f.Node.Listen)
	c.hostPort("/node/advertise", f.Node.Advertise)
	c.between("/node/stop_grace_ms", f.Node.StopGraceMS, 0, maxGraceMS)
	c.between("/node/balancer_grace_ms", f.Node.BalancerGraceMS, 0, maxGraceMS)
	c.between("/node/processors", f.Node.Processors, 1, maxProcessors)
	c.between("/node/memory_mb", f.Node.MemoryMB, minMemoryMB, maxMemoryMB)
	c.between("/node/max_descriptors", f.Node.MaxDescriptors, minDescriptors, maxDescriptors)
	c.oneOf("/log/format", f.Log.Format, FormatJSON, FormatText)
	c.oneOf("/log/level", f.Log.Level, LevelInfo, LevelDebug)
	hasRole := f.Entry != nil || f.Sidecar != nil || f.Control != nil || f.StandIn != nil
	c.require(hasRole, "", "no role is set", `add a section "entry", "sidecar" or "control"`)
	if f.Entry != nil || f.Sidecar != nil {
		c.require(len(f.ControlAddresses) > 0, "/control_addresses", "is empty", "list the control VMs as host:port")
	}
	c.addresses("/control_addresses", f.ControlAddresses)
	if f.Entry != nil {
		f.Entry.check(c)
	}
	if f.Sidecar != nil {
		f.Sidecar.check(c)
		distinct := f.Entry == nil || f.Sidecar.Target != f.Node.ID
		c.require(distinct, "/sidecar/target", "is the entry's id too", "give the target a name of its own")
	}
	if f.Control != nil {
		f.Control.check(c)
	}
	if f.StandIn != nil {
		f.StandIn.check(c)
	}
}

// setDefault sets target to value if target is zero.
func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}
