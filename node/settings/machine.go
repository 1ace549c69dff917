package settings

import (
	"golang.org/x/sys/unix"

	"flamingohall.example/node/intake"
)

// unknownMemoryMB is the memory of a machine that does not report it.
const unknownMemoryMB = 1024

// fillLimits replaces limits that are not set by those of the machine.
func (n *Node) fillLimits() {
	setDefault(&n.MemoryMB, machineMemoryMB())
	setDefault(&n.MaxDescriptors, descriptorLimit())
}

// Intake returns what the process may use for its clients.
func (n Node) Intake() intake.Limits {
	n.fillLimits()
	return intake.Limits{Memory: int64(n.MemoryMB) << 20, Descriptors: n.MaxDescriptors}
}

func machineMemoryMB() int {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return unknownMemoryMB
	}
	return min(max(minMemoryMB, int(info.Totalram*uint64(info.Unit)>>20)), maxMemoryMB)
}

func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return max(minDescriptors, int(limit.Cur))
}
