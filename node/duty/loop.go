package duty

import (
	"context"
	"time"

	"flamingohall.example/node/boottime"
)

// inputBatch bounds the number of inputs processed before the state advances.
const inputBatch = 256

// Loop processes inputs to some state. Only the goroutine that calls Run accesses the state.
type Loop struct {
	inputs chan func(now time.Duration)
	ended  <-chan struct{}
}

// NewLoop returns a loop with a queue of the given capacity. It accepts inputs until ended is closed.
func NewLoop(capacity int, ended <-chan struct{}) *Loop {
	return &Loop{inputs: make(chan func(time.Duration), capacity), ended: ended}
}

// Put queues an input for the loop and blocks while the queue is full. It reports whether the input was queued. An input
// queued just before the end may not be processed.
func (l *Loop) Put(input func(now time.Duration)) bool {
	select {
	case l.inputs <- input:
		return true
	case <-l.ended:
		return false
	}
}

// Run processes inputs until the loop has ended. It calls advance after each batch of inputs, and when the delay that
// advance last returned has passed. Times are those of package boottime.
func (l *Loop) Run(advance func(now time.Duration) (next time.Duration)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-l.ended:
			return
		case input := <-l.inputs:
			input(boottime.Now())
			l.drain()
		case <-timer.C:
		}
		timer.Reset(advance(boottime.Now()))
	}
}

func (l *Loop) drain() {
	for range inputBatch - 1 {
		select {
		case input := <-l.inputs:
			input(boottime.Now())
		default:
			return
		}
	}
}

// Until waits until a condition holds or ctx ends. It checks the condition once in each period.
func Until(ctx context.Context, period time.Duration, holds func() bool) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for !holds() && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
