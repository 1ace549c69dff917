package control

import (
	"sync"

	"flamingohall.example/core/fault"
)

// gate tells polls whether this VM may serve. Closing it releases all of them at once.
type gate struct {
	mutex  sync.Mutex
	reason *fault.Error
	// closed is closed with the gate; a new one is made when it opens.
	closed chan struct{}
	// final is set by a planned stop: the gate stays closed.
	final bool
}

func newGate(reason *fault.Error) *gate {
	made := &gate{reason: reason, closed: make(chan struct{})}
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
	return true
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
