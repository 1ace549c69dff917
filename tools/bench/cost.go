package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingohall.example/core/fault"
)

// ticksPerSecond is the unit in which Linux reports processor time to programs.
const ticksPerSecond = 100

// observed is a process whose cost is read from /proc.
type observed struct {
	name string
	pid  int
}

// usage is what a process has used.
type usage struct {
	at       time.Time
	cpu      time.Duration
	resident int64
	peak     int64
}

// findProcesses reads NAME=PID pairs and folders that hold NAME.pid files.
func findProcesses(arguments []string) ([]observed, error) {
	var list []observed
	for _, argument := range arguments {
		name, number, isPair := strings.Cut(argument, "=")
		if !isPair {
			found, err := readPIDFolder(argument)
			if err != nil {
				return nil, err
			}
			list = append(list, found...)
			continue
		}
		pid, err := strconv.Atoi(number)
		if err != nil {
			return nil, fault.New(fault.Malformed, "write NAME=PID or name a folder of .pid files", "%q is no process", argument)
		}
		list = append(list, observed{name: name, pid: pid})
	}
	return list, nil
}

func readPIDFolder(folder string) ([]observed, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.pid"))
	if err != nil || len(files) == 0 {
		return nil, fault.New(fault.Malformed, "write NAME=PID or name a folder of .pid files", "no .pid file in %s", folder)
	}
	slices.Sort(files)
	var list []observed
	for _, file := range files {
		text, err := os.ReadFile(file) //nolint:gosec // The user names the folder.
		if err != nil {
			return nil, fault.New(fault.Malformed, "name files that this user can read", "%v", err)
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return nil, fault.New(fault.Malformed, "let the file hold a process id", "%s: %v", file, err)
		}
		list = append(list, observed{name: strings.TrimSuffix(filepath.Base(file), ".pid"), pid: pid})
	}
	return list, nil
}

// readUsage reads what the processes have used; those that have ended are left out.
func readUsage(processes []observed) map[int]usage {
	used := map[int]usage{}
	for _, process := range processes {
		if found, err := usageOf(process.pid); err == nil {
			used[process.pid] = found
		}
	}
	return used
}

func usageOf(pid int) (usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	cpu, err := parseStat(string(stat))
	if err != nil {
		return usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return usage{}, err
	}
	return usage{
		at: time.Now(), cpu: cpu,
		resident: statusBytes(string(status), "VmRSS:"), peak: statusBytes(string(status), "VmHWM:"),
	}, nil
}

// parseStat returns the processor time in /proc/PID/stat: fields 14 and 15, counted after the name in parentheses.
func parseStat(stat string) (time.Duration, error) {
	const userField, systemField = 11, 12
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= systemField {
		return 0, fault.New(fault.Internal, "run on Linux", "stat has %d fields", len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, fault.New(fault.Internal, "run on Linux", "stat holds no processor time")
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// statusBytes returns a field of /proc/PID/status that is given in KiB.
func statusBytes(status, field string) int64 {
	for line := range strings.Lines(status) {
		rest, found := strings.CutPrefix(line, field)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		if err != nil {
			return 0
		}
		return number << 10
	}
	return 0
}

// costs returns what each process used between two readings.
func costs(processes []observed, before, after map[int]usage) []ProcessCost {
	list := []ProcessCost{}
	for _, process := range processes {
		first, started := before[process.pid]
		last, ended := after[process.pid]
		if !started || !ended {
			continue
		}
		elapsed := last.at.Sub(first.at).Seconds()
		list = append(list, ProcessCost{
			Name: process.name, PID: process.pid, Core: (last.cpu - first.cpu).Seconds() / elapsed,
			ResidentBytes: last.resident, PeakBytes: last.peak,
		})
	}
	return list
}

// readLoad returns the one-minute load average; 0 when it can't be read.
func readLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}
