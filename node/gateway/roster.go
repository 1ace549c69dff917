package gateway

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/work"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/stream"
	"flamingohall.example/node/workwire"
)

// roster keeps a session with each sidecar that control lists.
type roster struct {
	gateway *Gateway
	kept    map[string]*keptSession
	loops   sync.WaitGroup
}

// keptSession is the session with one sidecar's address.
type keptSession struct {
	address string
	cancel  context.CancelFunc
}

// run follows control's list until ctx ends.
func (r *roster) run(ctx context.Context) {
	defer r.loops.Wait()
	for ctx.Err() == nil {
		changed := r.gateway.follower.Changed()
		if view := r.gateway.follower.View(); view != nil {
			r.adopt(ctx, view.Nodes)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (r *roster) adopt(ctx context.Context, nodes map[string]*rpc.Node) {
	for id, kept := range r.kept {
		node := nodes[id]
		if node == nil || node.GetAddress() != kept.address {
			kept.cancel()
			delete(r.kept, id)
		}
	}
	for id, node := range nodes {
		if node.GetRole() == rpc.Role_ROLE_SIDECAR && r.kept[id] == nil {
			r.keep(ctx, id, node)
		}
	}
}

func (r *roster) keep(ctx context.Context, id string, node *rpc.Node) {
	ctx, cancel := context.WithCancel(ctx)
	r.kept[id] = &keptSession{address: node.GetAddress(), cancel: cancel}
	sessions := &sessionEvents{gateway: r.gateway, id: id, dataCentre: node.GetDataCentre()}
	r.loops.Go(func() {
		stream.Maintain(ctx, node.GetAddress(), stream.Events{
			Opened: sessions.opened, Attached: sessions.attached, Received: sessions.received, Closed: sessions.closed,
		})
		r.gateway.put(func(now time.Duration) { r.gateway.core.Removed(now, id) })
	})
}

// sessionEvents hands what happens to a sidecar's sessions to the loop.
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
