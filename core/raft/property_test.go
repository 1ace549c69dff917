package raft

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed makes CI runs reproducible; -rapid.seed overrides it.
const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == "rapid.seed" })
	if !isSet {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}

// TestReplica_SafeAndRecoversUnderFaults runs random histories of crashes, lost unsynced data, lost disks, disks that take
// no writes for a while, one-way and full network partitions, restarts, leadership transfers and compactions. Messages
// are lost, delayed, duplicated and reordered.
func TestReplica_SafeAndRecoversUnderFaults(t *testing.T) {
	var elections, confirmed, replaced, restored, committed int
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 3, 4, 5, 2}).Draw(t, "size")
		s := newSimulation(size, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		s.startAll()
		s.runHealthy(30)
		t.Repeat(simulationActions(s))
		s.checkRecovery()
		elections += s.elections
		confirmed += s.confirmed
		replaced += s.replaced
		restored += s.restored
		committed += int(s.maxCommit)
	})
	t.Logf("%d elections, %d entries committed, %d reads confirmed, %d disks replaced, %d snapshots installed",
		elections, committed, confirmed, replaced, restored)
}

func simulationActions(s *simulation) map[string]func(*rapid.T) {
	node := func(t *rapid.T) *simNode { return s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")] }
	return map[string]func(*rapid.T){
		"calm":  func(t *rapid.T) { s.runHealthy(rapid.IntRange(1, 30).Draw(t, "rounds")) },
		"chaos": func(t *rapid.T) { s.runFaulty(rapid.IntRange(10, 1000).Draw(t, "steps")) },
		"storm": func(t *rapid.T) { s.runFaulty(rapid.IntRange(10, 1000).Draw(t, "steps")) },
		"propose": func(*rapid.T) {
			if leader := s.leader(); leader != nil {
				s.propose(leader)
				s.read(leader)
			}
		},
		"cut":       func(t *rapid.T) { s.block(node(t), rapid.Bool().Draw(t, "whole")) },
		"cutLeader": func(t *rapid.T) { s.blockLeader(rapid.Bool().Draw(t, "whole")) },
		"heal":      func(*rapid.T) { clear(s.blockedLinks) },
		"crash":     func(t *rapid.T) { s.crash(node(t)) },
		"restart":   func(*rapid.T) { s.startAll() },
		"loseDisk": func(t *rapid.T) {
			if s.canLoseDisk() {
				s.loseDisk(node(t))
			}
		},
		"storage":       func(t *rapid.T) { node(t).storage = StorageState(rapid.IntRange(0, 2).Draw(t, "state")) },
		"leaderStorage": func(t *rapid.T) { s.failLeaderStorage(StorageState(rapid.IntRange(1, 2).Draw(t, "state"))) },
		"storageWorks": func(*rapid.T) {
			for _, n := range s.nodes {
				n.storage = StorageWorks
			}
		},
		"compact": func(t *rapid.T) { s.compact(node(t)) },
		"transfer": func(t *rapid.T) {
			if leader := s.leader(); leader != nil {
				_ = leader.replica.Transfer(node(t).member.ID)
				s.processReady(leader)
			}
		},
	}
}

func (s *simulation) blockLeader(allLinks bool) {
	if leader := s.leader(); leader != nil {
		s.block(leader, allLinks)
	}
}

func (s *simulation) failLeaderStorage(state StorageState) {
	if leader := s.leader(); leader != nil {
		leader.storage = state
		s.propose(leader)
	}
}
