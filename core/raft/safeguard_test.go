package raft

import (
	"slices"
	"testing"
)

// TestSafeguard_SyncBeforeVote shows that a vote that leaves before its sync lets a term have two leaders: the voter
// crashes, has forgotten its vote, and votes again.
func TestSafeguard_SyncBeforeVote(t *testing.T) {
	for _, isOff := range []bool{false, true} {
		s := directed(3, func(c *Config) { c.withoutSyncedVote = isOff })
		a, b, c := s.nodes[0], s.nodes[1], s.nodes[2]
		s.standWith(a, b)
		s.crashUnsynced(b)
		s.start(b)
		s.standWith(c, b)
		hasTwo := a.replica.role == Leader && c.replica.role == Leader && a.replica.hard.Term == c.replica.hard.Term
		if hasTwo != isOff {
			t.Errorf("without the sync %v: one term has two leaders: %v", isOff, hasTwo)
		}
	}
}

// standWith lets a node stand with one voter, which syncs nothing.
func (s *simulation) standWith(n, voter *simNode) {
	s.flying = nil
	n.replica.stand(false)
	s.settle(n)
	s.sync(n, len(n.pending))
	for range 3 {
		flying := s.flying
		s.flying = nil
		for _, m := range flying {
			s.passOn(m, []*simNode{n, voter})
		}
	}
}

func (s *simulation) crashUnsynced(n *simNode) {
	n.pending = nil
	s.crash(n)
}

// TestSafeguard_OwnTermRule plays the history in which a leader finds an entry of an older term on a quorum, commits
// it, and is followed by a leader that never saw it.
func TestSafeguard_OwnTermRule(t *testing.T) {
	for _, isOff := range []bool{false, true} {
		s := directed(5, func(c *Config) { c.withoutOwnTermRule = isOff })
		a, b, c, d, e := s.nodes[0], s.nodes[1], s.nodes[2], s.nodes[3], s.nodes[4]
		s.elect(a, a, b, c, d, e)
		s.exchange(20, a, b, c, d, e)
		// In term 3, a's entry reaches b alone; in term 4, e gets an entry that nobody else sees.
		s.elect(a, a, b, c)
		s.exchange(9, a, b)
		s.crash(a)
		s.elect(e, c, d, e)
		s.crash(e)
		// a leads again and brings its old entry to c, but its own barrier nowhere.
		s.start(a)
		s.elect(a, a, b, c, d)
		old := s.lastOfTerm(a, 3)
		a.replica.config.MaxAppendBytes = 1
		s.lastPassed = old
		s.exchange(9, a, b, c)
		s.lastPassed = 0
		isCommitted := a.replica.log.committed >= old
		if isCommitted != isOff {
			t.Errorf("without the rule %v: the old entry is committed: %v", isOff, isCommitted)
		}
		// e, whose last entry is of term 4, can still win and overwrite it.
		s.crash(a)
		s.start(e)
		s.elect(e, c, d, e)
		if term, _ := e.replica.log.term(old); term == 3 {
			t.Error("the later leader holds the entry: the history does not show the case")
		}
	}
}

// directed starts a group in which nothing happens by chance.
func directed(size int, adjust func(*Config)) *simulation {
	s := newSimulation(size, 1, func(string, ...any) {})
	s.adjust = adjust
	s.startAll()
	return s
}

// exchange runs rounds among the nodes given; messages to others are lost.
func (s *simulation) exchange(rounds int, among ...*simNode) {
	for range rounds {
		for _, n := range among {
			if n.replica.role == Leader {
				s.tick(n)
			}
			s.sync(n, len(n.pending))
		}
		flying := s.flying
		s.flying = nil
		for _, m := range flying {
			s.passOn(m, among)
		}
	}
}

func (s *simulation) passOn(m Message, among []*simNode) {
	if s.lastPassed > 0 {
		m.Entries = slices.DeleteFunc(slices.Clone(m.Entries), func(e Entry) bool { return e.Index > s.lastPassed })
	}
	for _, n := range among {
		if n.member.ID == m.To && n.replica != nil {
			n.replica.Step(m)
			s.settle(n)
		}
	}
}

// elect lets the node win the votes of those given, before any of them gets an entry of its term.
func (s *simulation) elect(n *simNode, among ...*simNode) {
	s.flying = nil
	for _, one := range among {
		one.replica.becomeFollower(one.replica.hard.Term, None)
	}
	for range 20 {
		if n.replica.role == Leader {
			break
		}
		if n.replica.role == Follower {
			n.replica.campaign()
			s.settle(n)
		}
		s.exchange(1, among...)
	}
	s.sync(n, len(n.pending))
	s.flying = nil
}

func (s *simulation) lastOfTerm(n *simNode, term uint64) uint64 {
	for index := n.replica.log.last(); index > 0; index-- {
		if held, _ := n.replica.log.term(index); held == term {
			return index
		}
	}
	return 0
}

// TestSafeguard_PreVote shows that a member that was cut off leaves the term alone when it returns.
func TestSafeguard_PreVote(t *testing.T) {
	for _, isOff := range []bool{false, true} {
		s := directed(3, func(c *Config) { c.withoutPreVote = isOff })
		s.calm(60)
		leader := s.leader()
		term := leader.replica.hard.Term
		away := s.nodes[0]
		if away == leader {
			away = s.nodes[1]
		}
		s.cut(away, true)
		s.calm(100)
		clear(s.cuts)
		s.calm(20)
		isDisturbed := leader.replica.role != Leader || leader.replica.hard.Term != term
		if isDisturbed != isOff {
			t.Errorf("without pre-vote %v: the leader was disturbed: %v", isOff, isDisturbed)
		}
	}
}

// TestSafeguard_CheckQuorum shows that a leader behind a silent cut stops leading within an election timeout.
func TestSafeguard_CheckQuorum(t *testing.T) {
	for _, isOff := range []bool{false, true} {
		s := directed(3, func(c *Config) { c.withoutCheckQuorum = isOff })
		s.calm(60)
		leader := s.leader()
		s.cut(leader, true)
		s.calm(simElectionTicks + simHeartbeatTicks)
		stillLeads := leader.replica.role == Leader
		if stillLeads != isOff {
			t.Errorf("without check quorum %v: the cut-off leader still leads: %v", isOff, stillLeads)
		}
		if err := leader.replica.Read(1); (err == nil) != isOff {
			t.Errorf("without check quorum %v: a read is taken: %v", isOff, err == nil)
		}
	}
}
