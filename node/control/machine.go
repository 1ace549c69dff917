package control

import (
	"context"
	"sync"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/state"
)

// machine guards the state. Only the group's apply goroutine writes it; the services read it.
type machine struct {
	mutex sync.RWMutex
	state *state.State
	// visible is closed at the next change that is visible to followers, applied at the next command.
	visible chan struct{}
	applied chan struct{}
}

func newMachine() *machine {
	return &machine{state: state.New(), visible: make(chan struct{}), applied: make(chan struct{})}
}

// Apply executes a command. A malformed command changes nothing and returns no result, on every replica alike.
func (m *machine) Apply(index uint64, command []byte) []byte {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	catalogueIndex, registryIndex := m.state.CatalogueIndex, m.state.RegistryIndex
	result, err := m.state.Apply(index, command)
	if err != nil {
		result = nil
	}
	m.notify(catalogueIndex != m.state.CatalogueIndex || registryIndex != m.state.RegistryIndex)
	return result
}

// Snapshot returns the encoded state.
func (m *machine) Snapshot() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.state.Snapshot()
}

// Restore replaces the state by a snapshot taken at index.
func (m *machine) Restore(index uint64, snapshot []byte) error {
	restored, err := state.Restore(snapshot)
	if err != nil {
		return fault.New(fault.Storage, "replace this control VM's data folder", "snapshot at %d: %v", index, err)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state = restored
	m.notify(true)
	return nil
}

// notify wakes the waiters. The caller holds the lock.
func (m *machine) notify(visible bool) {
	close(m.applied)
	m.applied = make(chan struct{})
	if visible {
		close(m.visible)
		m.visible = make(chan struct{})
	}
}

// read calls use with the state under the read lock. use must not retain the state.
func (m *machine) read(use func(s *state.State)) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	use(m.state)
}

// watch returns a channel that is closed at the next change that is visible to followers.
func (m *machine) watch() <-chan struct{} {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.visible
}

// waitApplied waits until the state includes index. The error is fault.Unavailable.
func (m *machine) waitApplied(ctx context.Context, index uint64) error {
	for {
		m.mutex.RLock()
		reached, next := m.state.Index, m.applied
		m.mutex.RUnlock()
		if reached >= index {
			return nil
		}
		select {
		case <-next:
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "ask another control VM",
				"this control VM is at index %d, behind %d", reached, index)
		}
	}
}
