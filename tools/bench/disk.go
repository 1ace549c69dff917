package bench

import (
	"context"
	"os"
	"time"

	"flamingohall.example/core/fault"
)

// The disk probe makes small synced writes, as a write-ahead log does.
const (
	probePeriod = 50 * time.Millisecond
	probeBytes  = 512
)

// diskProbe measures how long synced writes take during the run.
type diskProbe struct {
	file *os.File
	stop context.CancelFunc
	done chan Quantiles
}

// startDiskProbe starts a probe that writes in a folder. With an empty folder name it probes nothing.
func startDiskProbe(ctx context.Context, folder string) (*diskProbe, error) {
	if folder == "" {
		return new(diskProbe), nil
	}
	file, err := os.CreateTemp(folder, "sync-probe-*")
	if err != nil {
		return nil, fault.New(fault.Malformed, "name a folder that this user can write", "--disk: %v", err)
	}
	ctx, stop := context.WithCancel(ctx)
	probe := &diskProbe{file: file, stop: stop, done: make(chan Quantiles, 1)}
	go probe.run(ctx)
	return probe, nil
}

func (p *diskProbe) run(ctx context.Context) {
	times := newTimes()
	block := make([]byte, probeBytes)
	for sleepUntil(ctx, time.Now().Add(probePeriod)) {
		start := time.Now()
		if _, err := p.file.Write(block); err != nil {
			break
		}
		if err := p.file.Sync(); err != nil {
			break
		}
		times.add(time.Since(start).Microseconds())
	}
	p.done <- times.quantiles()
}

// finish stops the probe, removes its file and returns the write times in microseconds.
func (p *diskProbe) finish() Quantiles {
	if p.file == nil {
		return Quantiles{}
	}
	p.stop()
	writeTimes := <-p.done
	// The errors do not affect the result: the data is not needed, and each probe creates a file of its own.
	_ = p.file.Close()
	_ = os.Remove(p.file.Name())
	return writeTimes
}
