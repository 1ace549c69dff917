package replica

import (
	"sync"
	"time"

	"flamingohall.example/core/raft"
	"flamingohall.example/node/settings"
)

// publish replaces the status that readers see by the current one. Once the loops run, only the raft loop calls it.
func (g *Group) publish() {
	view := g.core.Status()
	g.view.Store(&view)
	status := &Status{
		Replica: uint64(g.id),
		Term:    view.Term, CommitIndex: view.Commit, AppliedIndex: g.applied.load(),
		IsLeader: view.Role == raft.Leader,
	}
	voters, isVoter := 0, false
	for _, member := range view.Members {
		if !member.Learner {
			voters++
			isVoter = isVoter || member.ID == g.id
		}
		status.Members = append(status.Members, Member{
			Member:  settings.Member{ID: member.Name, Address: member.Address, DataCentre: member.DataCentre},
			Learner: member.Learner, MatchIndex: member.MatchIndex, Replica: uint64(member.ID),
		})
		if member.ID == view.Leader {
			status.Leader = member.Name
			status.LeaderAddress = member.Address
		}
	}
	// A leader that was removed from the members may still lead while the only voter is another VM.
	status.isSoleVoter = status.IsLeader && voters == 1 && isVoter
	before := g.status.Load()
	if status.Leader == "" {
		status.leaderLostAt = time.Now()
		if before != nil && before.Leader == "" {
			status.leaderLostAt = before.leaderLostAt
		}
	}
	isCurrent := status.IsLeader || g.storage.state() == raft.StorageWorks
	if view.Leader != raft.None && isCurrent {
		status.ConfirmedAt = time.Now().Add(-time.Duration(view.QuorumAge) * TickPeriod)
	} else if before != nil {
		status.ConfirmedAt = before.ConfirmedAt
	}
	g.status.Store(status)
}

// publishGauges publishes the status in /debug/vars.
func (g *Group) publishGauges() {
	gauge := func(name string, value func(Status) any) {
		g.options.Metrics.Gauge(name, func() any { return value(g.Status()) })
	}
	gauge("replica_leader", func(s Status) any { return s.Leader })
	gauge("replica_term", func(s Status) any { return s.Term })
	gauge("replica_commit_index", func(s Status) any { return s.CommitIndex })
	gauge("replica_applied_index", func(s Status) any { return s.AppliedIndex })
	gauge("replica_members", func(s Status) any { return len(s.Members) })
	g.options.Metrics.Gauge("replica_storage_error", func() any {
		if failure := g.failure.Load(); failure != nil {
			return failure.Message
		}
		return g.storage.message()
	})
	gauge("replica_staleness_ms", func(s Status) any { return time.Since(s.ConfirmedAt).Milliseconds() })
}

// changeSignal lets any number of goroutines wait for the next change.
type changeSignal struct {
	mutex sync.Mutex
	next  chan struct{}
}

func (c *changeSignal) init() {
	c.next = make(chan struct{})
}

// wait returns a channel that is closed at the next change. Callers must get it before they read the state, or they may
// miss a change.
func (c *changeSignal) wait() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.next
}

func (c *changeSignal) fire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.next)
	c.next = make(chan struct{})
}

// appliedIndex is the index of the last applied entry. Goroutines can wait for it to advance.
type appliedIndex struct {
	mutex  sync.Mutex
	index  uint64
	failed bool
	signal changeSignal
}

func (p *appliedIndex) init() {
	p.signal.init()
}

func (p *appliedIndex) load() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.index
}

func (p *appliedIndex) advance(index uint64) {
	p.mutex.Lock()
	p.index = max(p.index, index)
	p.mutex.Unlock()
	p.signal.fire()
}

// fail wakes the waiting goroutines when this VM stops applying entries.
func (p *appliedIndex) fail() {
	p.mutex.Lock()
	p.failed = true
	p.mutex.Unlock()
	p.signal.fire()
}

// reached reports whether the index is applied, and whether this VM has stopped applying entries.
func (p *appliedIndex) reached(index uint64) (done, failed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.index >= index, p.failed
}
