package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"flamingohall.example/core/partition"
	"flamingohall.example/core/work"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

// sessionManager keeps one session with each sidecar in this entry's part of control's registry.
type sessionManager struct {
	gateway *Gateway
	// session holds the sessions by the node's ID.
	session map[string]*sidecarSession
	// drained holds the sidecars that the dispatcher was told to be drained.
	drained map[string]bool
	loops   sync.WaitGroup
}

// sidecarSession is the session with the sidecar at one address.
type sidecarSession struct {
	address string
	cancel  context.CancelFunc
}

// run follows changes of the registry until ctx ends, and then waits for the sessions to end.
func (m *sessionManager) run(ctx context.Context) {
	defer m.loops.Wait()
	for ctx.Err() == nil {
		changed := m.gateway.follower.Changed()
		if view := m.gateway.follower.View(); view != nil {
			// The dispatcher forgets a worker before its drain, and learns of drains before a session with a drained sidecar opens.
			m.closeRemoved(view.Nodes)
			m.updateDrained(view)
			m.update(ctx, view.Nodes)
			entries := countRole(view.Nodes, rpc.Role_ROLE_ENTRY)
			m.gateway.put(func(time.Duration) { m.gateway.core.SetEntries(entries) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// countRole returns the number of nodes with a role.
func countRole(nodes map[string]*rpc.Node, role rpc.Role) int {
	count := 0
	for _, node := range nodes {
		if node.GetRole() == role {
			count++
		}
	}
	return count
}

// closeRemoved closes the sessions with sidecars that are no longer registered at their address.
func (m *sessionManager) closeRemoved(nodes map[string]*rpc.Node) {
	for id, session := range m.session {
		node := nodes[id]
		if node != nil && node.GetAddress() == session.address {
			continue
		}
		if m.drained[id] {
			// A sidecar that was cut off from control before the order doesn't know that it is drained.
			m.gateway.put(func(now time.Duration) { m.gateway.core.Removed(now, id) })
		}
		session.cancel()
		delete(m.session, id)
	}
}

func (m *sessionManager) update(ctx context.Context, nodes map[string]*rpc.Node) {
	chosen := m.choose(nodes)
	for id := range chosen {
		if m.session[id] == nil {
			m.open(ctx, id, nodes[id])
		}
	}
	for _, id := range partition.Surplus(slices.Collect(maps.Keys(m.session)), chosen, m.gateway.busyWorkers()) {
		m.session[id].cancel()
		delete(m.session, id)
	}
}

// choose returns the sidecars of this entry's part.
func (m *sessionManager) choose(nodes map[string]*rpc.Node) map[string]bool {
	var workers []partition.Worker
	for id, node := range nodes {
		if node.GetRole() == rpc.Role_ROLE_SIDECAR {
			target := node.GetTarget()
			workers = append(workers, partition.Worker{ID: id, Kind: target.GetPool() + "/" + target.GetRack()})
		}
	}
	return partition.Choose(m.gateway.options.ID, countRole(nodes, rpc.Role_ROLE_ENTRY), workers)
}

func (m *sessionManager) open(ctx context.Context, id string, node *rpc.Node) {
	ctx, cancel := context.WithCancel(ctx)
	m.session[id] = &sidecarSession{address: node.GetAddress(), cancel: cancel}
	handler := &sessionEvents{gateway: m.gateway, id: id, dataCentre: node.GetDataCentre()}
	m.loops.Go(func() {
		stream.Maintain(ctx, node.GetAddress(), stream.Events{
			Opened: handler.opened, Attached: handler.attached, Received: handler.received, Closed: handler.closed,
		})
		m.gateway.put(func(now time.Duration) { m.gateway.core.Removed(now, id) })
	})
}

// sessionEvents passes the events of one sidecar's sessions to the loop.
type sessionEvents struct {
	gateway    *Gateway
	id         string
	dataCentre string
}

func (s *sessionEvents) opened(peer *stream.Peer) {
	hello := &work.ToSidecar{Hello: &work.Hello{Entry: s.gateway.options.ID}}
	peer.Send(workwire.EncodeToSidecar(hello))
	s.gateway.put(func(now time.Duration) {
		s.gateway.peers[s.id] = peer
		delete(s.gateway.busy, s.id)
		s.gateway.core.Opened(now, s.id, s.dataCentre)
	})
}

func (s *sessionEvents) attached(_ *stream.Peer, isAttached bool) {
	s.gateway.put(func(now time.Duration) { s.gateway.core.Attached(now, s.id, isAttached) })
}

func (s *sessionEvents) received(peer *stream.Peer, payload []byte) {
	frame, err := workwire.DecodeToEntry(payload)
	if err != nil {
		s.gateway.counters.malformed.Add(1)
		peer.Close()
		return
	}
	s.gateway.put(func(now time.Duration) {
		if s.gateway.peers[s.id] == peer {
			s.gateway.core.Take(now, s.id, frame)
		}
	})
}

func (s *sessionEvents) closed(peer *stream.Peer) {
	s.gateway.put(func(now time.Duration) {
		if s.gateway.peers[s.id] == peer {
			delete(s.gateway.peers, s.id)
			s.gateway.core.Closed(now, s.id)
		}
	})
}
