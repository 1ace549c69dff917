package duty

import (
	"context"
	"time"

	"flamingohall.example/node/boottime"
)

// inputBatch bounds the inputs that are taken before the state advances.
const inputBatch = 256

// Loop owns a state. Only the goroutine that is in Run touches it.
type Loop struct {
	inputs chan func(now time.Duration)
	ended  <-chan struct{}
}

// NewLoop returns a loop whose ring holds so many inputs. Inputs are taken until ended is closed.
func NewLoop(ring int, ended <-chan struct{}) *Loop {
	return &Loop{inputs: make(chan func(time.Duration), ring), ended: ended}
}

// Put hands an input to the loop, waiting while the ring is full. It reports whether the input was taken; an input that was
// taken just before the end may not be carried out.
func (l *Loop) Put(input func(now time.Duration)) bool {
	select {
	case l.inputs <- input:
		return true
	case <-l.ended:
		return false
	}
}

// Run carries inputs out, and advances the state after each batch of them and when the time that advance returned has passed,
// until the loop has ended. Times are those of boottime.
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

// Until waits until a condition holds or ctx ends, looking at it once a period.
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
