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

// ticksPerSecond is the unit of processor time in /proc (USER_HZ).
const ticksPerSecond = 100

// observedProcess is a process whose resource use is read from /proc.
type observedProcess struct {
	name string
	pid  int
}

// usage is the resource use of a process, as read at one time.
type usage struct {
	at       time.Time
	cpu      time.Duration
	resident int64
	peak     int64
}

// findProcesses returns the processes given as NAME=PID pairs or as folders that hold NAME.pid files.
func findProcesses(arguments []string) ([]observedProcess, error) {
	var list []observedProcess
	for _, argument := range arguments {
		name, number, isPair := strings.Cut(argument, "=")
		if !isPair {
			processes, err := readPIDFolder(argument)
			if err != nil {
				return nil, err
			}
			list = append(list, processes...)
			continue
		}
		pid, err := strconv.Atoi(number)
		if err != nil {
			return nil, fault.New(fault.Malformed, "write NAME=PID or name a folder of .pid files", "%q has no valid process id", argument)
		}
		list = append(list, observedProcess{name: name, pid: pid})
	}
	return list, nil
}

func readPIDFolder(folder string) ([]observedProcess, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.pid"))
	if err != nil || len(files) == 0 {
		return nil, fault.New(fault.Malformed, "write NAME=PID or name a folder of .pid files", "no .pid file in %s", folder)
	}
	slices.Sort(files)
	var list []observedProcess
	for _, file := range files {
		text, err := os.ReadFile(file) //nolint:gosec // The user names the folder.
		if err != nil {
			return nil, fault.New(fault.Malformed, "name files that this user can read", "%v", err)
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
		if err != nil {
			return nil, fault.New(fault.Malformed, "write a process id into the file", "%s: %v", file, err)
		}
		list = append(list, observedProcess{name: strings.TrimSuffix(filepath.Base(file), ".pid"), pid: pid})
	}
	return list, nil
}

// readUsage reads the resource use of the processes. Processes that have ended are left out.
func readUsage(processes []observedProcess) map[int]usage {
	used := map[int]usage{}
	for _, process := range processes {
		if current, err := usageOf(process.pid); err == nil {
			used[process.pid] = current
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

// parseStat returns the user and system time of /proc/PID/stat: fields 14 and 15. Fields are counted from the closing
// parenthesis of the process name, since the name may hold spaces and parentheses.
func parseStat(stat string) (time.Duration, error) {
	const userField, systemField = 11, 12
	fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
	if len(fields) <= systemField {
		return 0, fault.New(fault.Internal, "run on Linux", "/proc/PID/stat has only %d fields after the process name", len(fields))
	}
	user, userErr := strconv.ParseInt(fields[userField], 10, 64)
	system, systemErr := strconv.ParseInt(fields[systemField], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, fault.New(fault.Internal, "run on Linux", "/proc/PID/stat holds no processor time")
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// statusBytes returns a field of /proc/PID/status in bytes; the file gives it in KiB. It is 0 when the field is missing.
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

// costs returns what each process used between two readings, without the processes that are missing in one of them.
func costs(processes []observedProcess, before, after map[int]usage) []ProcessCost {
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

// readLoad returns the one-minute load average, or 0 when it can't be read.
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
