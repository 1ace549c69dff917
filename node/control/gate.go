package control

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/fault"
)

// gate controls whether this VM may serve. Closing it releases all held polls at once.
type gate struct {
	mutex  sync.Mutex
	reason *fault.Error
	// closed is closed when the gate closes, and replaced when it opens.
	closed chan struct{}
	// opened is closed when the gate opens for the first time.
	opened chan struct{}
	// final is set by a planned stop, after which the gate stays closed.
	final bool
}

func newGate(reason *fault.Error) *gate {
	g := &gate{reason: reason, closed: make(chan struct{}), opened: make(chan struct{})}
	close(g.closed)
	return g
}

// check returns a channel that is closed when the gate closes, or the reason why the gate is closed.
func (g *gate) check() (<-chan struct{}, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.reason != nil {
		return nil, g.reason
	}
	return g.closed, nil
}

// open opens the gate unless it is closed permanently. It reports whether the gate was closed before.
func (g *gate) open() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.reason == nil || g.final {
		return false
	}
	g.reason = nil
	g.closed = make(chan struct{})
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
	return true
}

// openingWait bounds how long a call waits at a control VM that is starting. It is about the duration of the election
// at the start, so that nodes that start at the same time, as after a power failure, don't have to retry.
const openingWait = 300 * time.Millisecond

// await is like check, but first waits up to openingWait for the first opening.
func (g *gate) await(ctx context.Context) (<-chan struct{}, error) {
	timer := time.NewTimer(openingWait)
	defer timer.Stop()
	select {
	case <-g.opened:
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.check()
}

// closeFor closes the gate for a reason, permanently if final is set. It reports whether the gate was open before.
func (g *gate) closeFor(reason *fault.Error, final bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wasOpen := g.reason == nil
	if wasOpen {
		close(g.closed)
	}
	if !g.final {
		g.reason = reason
		g.final = final
	}
	return wasOpen
}
