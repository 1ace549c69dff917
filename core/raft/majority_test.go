package raft

import (
	"testing"

	"pgregory.net/rapid"
)

// TestStorage_MajorityWithWorkingDisksServes guards against a group that answers no caller although a majority of its voters runs
// and can store entries, whatever has happened before and whatever state the other voters stay in.
func TestStorage_MajorityWithWorkingDisksServes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{2, 3, 3, 4, 5}).Draw(t, "size")
		s := newSimulation(size, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		s.startAll()
		s.runHealthy(30)
		actions := simulationActions(s)
		// Members that are being replaced have an extra node each, so that the size says nothing about the voters.
		delete(actions, "loseDisk")
		t.Repeat(actions)
		clear(s.blockedLinks)
		impaired := s.impairMinority(t)
		s.runHealthy(20 * simElectionTicks)
		before, confirmed := s.maxCommit, s.confirmed
		for range 5 {
			if leader := s.leader(); leader != nil {
				s.propose(leader)
				s.read(leader)
			}
			s.runHealthy(2 * simElectionTicks)
		}
		// A leader answers its callers with what it has applied.
		if leader := s.leader(); leader == nil || leader.applied <= before || s.confirmed == confirmed {
			t.Fatalf("%d of %d voters work; leader %+v, %d entries committed, %d reads confirmed", size-impaired, size,
				leader, s.maxCommit-before, s.confirmed-confirmed)
		}
		s.checkRecovery()
	})
}

// impairMinority stops some voters or their disks, and lets the majority of them work. It returns their number.
func (s *simulation) impairMinority(t *rapid.T) int {
	impaired := rapid.IntRange(0, (len(s.nodes)-1)/2).Draw(t, "impaired")
	for i, position := range s.random.Perm(len(s.nodes)) {
		n := s.nodes[position]
		n.storage = StorageWorks
		s.start(n)
		if i >= impaired {
			continue
		}
		switch state := rapid.IntRange(0, 2).Draw(t, "state"); state {
		case 0:
			s.crash(n)
		default:
			n.storage = StorageState(state)
		}
	}
	return impaired
}
