package control

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/fault"
)

// gate tells polls whether this VM may serve. Closing it releases all of them at once.
type gate struct {
	mutex  sync.Mutex
	reason *fault.Error
	// closed is closed with the gate; a new one is made when it opens.
	closed chan struct{}
	// opened is closed when the gate opens for the first time.
	opened chan struct{}
	// final is set by a planned stop: the gate stays closed.
	final bool
}

func newGate(reason *fault.Error) *gate {
	made := &gate{reason: reason, closed: make(chan struct{}), opened: make(chan struct{})}
	close(made.closed)
	return made
}

// check returns nil and a channel that is closed when the gate closes, or the reason why it is closed.
func (g *gate) check() (<-chan struct{}, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.reason != nil {
		return nil, g.reason
	}
	return g.closed, nil
}

// open reports whether the gate was closed and is open now.
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

// openingWait is how long a call waits at a control VM that starts: about as long as an election there. Nodes that start
// with it, as after a loss of power, are then answered at once instead of after their next try.
const openingWait = 300 * time.Millisecond

// await is check, but waits for the first opening.
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

// shut reports whether the gate was open and is closed now.
func (g *gate) shut(reason *fault.Error, final bool) bool {
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
