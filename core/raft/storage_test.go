package raft

import (
	"slices"
	"testing"

	"github.com/go-faster/errors"
)

// newStorageSimulation returns a group with a leader.
func newStorageSimulation(t *testing.T, size int, adjust func(*Config)) (*simulation, *simNode) {
	t.Helper()
	s := newSimulation(size, 1, t.Fatalf)
	if adjust != nil {
		s.adjust = adjust
	}
	s.startAll()
	s.runHealthy(4 * simElectionTicks)
	leader := s.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	return s, leader
}

func (s *simulation) followers(of *simNode) []*simNode {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return n == of })
}

// TestStorage_LeaderHandsOverWithoutAnElectionTimeout guards against changes that wait for an election timeout, or for ever,
// because the leader's storage takes no writes while that of the others does.
func TestStorage_LeaderHandsOverWithoutAnElectionTimeout(t *testing.T) {
	for _, state := range []StorageState{StorageFailing, StorageStalled} {
		s, old := newStorageSimulation(t, 3, nil)
		old.storage = state
		s.propose(old)
		s.runHealthy(simElectionTicks / 2)
		leader := s.leader()
		if leader == nil || leader == old {
			t.Fatalf("state %d: the leader did not hand over", state)
		}
		before := s.maxCommit
		s.propose(leader)
		s.runHealthy(2)
		if s.maxCommit == before {
			t.Errorf("state %d: the new leader commits nothing", state)
		}
		s.checkRecovery()
	}
}

// TestStorage_StalledLeaderKeepsLeadingIfAllAreSlow guards against a group without a leader because each of them hands over
// to one whose storage is as slow.
func TestStorage_StalledLeaderKeepsLeadingIfAllAreSlow(t *testing.T) {
	s, leader := newStorageSimulation(t, 3, nil)
	for _, n := range s.nodes {
		n.storage = StorageStalled
	}
	s.propose(leader)
	s.runHealthy(5 * simElectionTicks)
	if s.leader() != leader {
		t.Error("the leader handed over to a voter whose storage is as slow")
	}
	s.checkRecovery()
}

// TestStorage_LeaderWithoutASuccessorServesReads guards against a group without a leader because no other voter has a quorum
// that can store its election, and against proposals that wait for storage in vain.
func TestStorage_LeaderWithoutASuccessorServesReads(t *testing.T) {
	for _, size := range []int{1, 3} {
		s, leader := newStorageSimulation(t, size, nil)
		s.propose(leader)
		s.runHealthy(2)
		for i, n := range append(s.followers(leader), leader) {
			n.storage = StorageFailing
			if i == 1 {
				leader.storage = StorageFailing
			}
			s.propose(leader)
			s.runHealthy(2 * simHeartbeatTicks)
		}
		s.runHealthy(5 * simElectionTicks)
		if s.leader() != leader {
			t.Fatalf("size %d: the leader stepped down although no other voter can be elected", size)
		}
		if _, _, err := leader.replica.Propose(nil); !errors.Is(err, ErrNoStorage) {
			t.Errorf("size %d: got error %v, want ErrNoStorage", size, err)
		}
		before := s.confirmed
		s.read(leader)
		s.runHealthy(2)
		if s.confirmed == before {
			t.Errorf("size %d: a read was not confirmed although it needs no storage", size)
		}
		for _, n := range s.followers(leader) {
			n.storage = StorageWorks
		}
		s.runHealthy(simElectionTicks)
		if size > 1 && (s.leader() == nil || s.leader() == leader) {
			t.Error("the leader did not hand over when the others could store entries again")
		}
		s.checkRecovery()
	}
}

// TestStorage_FailingReplicaDoesNotGrow guards against a replica that collects entries, snapshot chunks and responses for as
// long as it can't store them.
func TestStorage_FailingReplicaDoesNotGrow(t *testing.T) {
	for _, state := range []StorageState{StorageFailing, StorageStalled} {
		s, leader := newStorageSimulation(t, 3, nil)
		stuck := s.followers(leader)[0]
		stuck.storage = state
		s.propose(leader)
		s.runHealthy(2)
		last, pending := stuck.replica.log.last(), len(stuck.pending)
		for range 200 {
			s.propose(leader)
			s.compact(leader)
			s.runHealthy(1)
			if n := stuck.replica; n.log.last() != last || len(stuck.pending) != pending || n.incoming != nil ||
				len(n.messages) > 0 {
				t.Fatalf("state %d: the replica grows: log %d, was %d; %d Readys, were %d; %d messages",
					state, n.log.last(), last, len(stuck.pending), pending, len(n.messages))
			}
		}
		if s.leader() != leader {
			t.Errorf("state %d: the follower deposed the leader", state)
		}
		restored := s.restored
		s.checkRecovery()
		if s.restored == restored {
			t.Errorf("state %d: the test did not reach a snapshot", state)
		}
	}
}

// TestStorage_FailingFollowerIsSentNoEntries guards against sending a backlog again and again to a member that drops it.
func TestStorage_FailingFollowerIsSentNoEntries(t *testing.T) {
	s, leader := newStorageSimulation(t, 3, nil)
	stuck := s.followers(leader)[0]
	stuck.storage = StorageFailing
	s.propose(leader)
	s.runHealthy(3 * simHeartbeatTicks)
	for range 3 * simElectionTicks {
		s.tick(leader)
		s.propose(leader)
		for _, m := range s.inFlight {
			if m.To == stuck.member.ID && m.Type != Heartbeat {
				t.Fatalf("message %d is sent to a replica whose storage fails", m.Type)
			}
		}
		s.runHealthy(1)
	}
	s.checkRecovery()
}

// TestStorage_FailingReplicaNeitherVotesNorCampaigns guards against elections that have no result, and terms that rise,
// because a voter can't store its vote.
func TestStorage_FailingReplicaNeitherVotesNorCampaigns(t *testing.T) {
	for _, state := range []StorageState{StorageFailing, StorageStalled} {
		r := newTestReplica(t, 6)
		r.stepFrom(3, 2, Message{Type: Heartbeat})
		r.Ready()
		r.SetStorage(state)
		for range 10 * simElectionTicks {
			r.Tick()
		}
		r.stepFrom(2, 3, Message{Type: PreVote, Index: 6, LogTerm: 2})
		r.stepFrom(2, 3, Message{Type: Vote, Index: 6, LogTerm: 2, Transfer: true})
		r.stepFrom(2, 2, Message{Type: TimeoutNow})
		if r.HasReady() || r.hard.Term != 2 || r.hard.Vote != None || r.role != Follower ||
			r.leader != None {
			t.Errorf("state %d: the replica takes part in an election, or still follows a silent leader: %+v", state, r.Status())
		}
		r.SetStorage(StorageWorks)
		r.stepFrom(2, 3, Message{Type: Vote, Index: 6, LogTerm: 2})
		if r.hard.Vote != 2 {
			t.Errorf("state %d: the replica doesn't vote although its storage works", state)
		}
	}
}

// TestStorage_FailingCandidateGivesUp guards against a candidate that is elected although it can store nothing.
func TestStorage_FailingCandidateGivesUp(t *testing.T) {
	r := newTestReplica(t, 6)
	r.startElection(false, ReasonLeaderSilent)
	r.SetStorage(StorageFailing)
	r.stepFrom(2, r.hard.Term, Message{Type: VoteResponse})
	if r.role != Follower {
		t.Errorf("the candidate became %v", r.role)
	}
}

// TestStorage_ReadFailsIfTheFirstEntryCanNotBeCommitted guards against reads that wait for a barrier that no quorum can store.
func TestStorage_ReadFailsIfTheFirstEntryCanNotBeCommitted(t *testing.T) {
	r := newTestReplica(t, 6)
	leadTestReplica(t, r)
	for _, id := range []ID{2, 3} {
		r.stepFrom(id, r.hard.Term, Message{Type: HeartbeatResponse, Sequence: 1, Reject: true})
	}
	if err := r.Read(7); err != nil {
		t.Fatal(err)
	}
	if ready := r.Ready(); len(ready.FailedReads) != 1 {
		t.Errorf("got %+v, want a failed read", ready)
	}
}

// TestStorage_LearnerReplacesAFailingVoter guards against a voter that answers heartbeats but stores nothing, and is kept
// although a learner could take its place.
func TestStorage_LearnerReplacesAFailingVoter(t *testing.T) {
	s, leader := newStorageSimulation(t, 3, func(c *Config) { c.Voters, c.SilentTicks = 3, 3*simElectionTicks })
	s.start(s.addNode("spare"))
	s.runHealthy(2 * simElectionTicks)
	stuck := s.followers(leader)[0]
	stuck.storage = StorageFailing
	s.propose(leader)
	s.runHealthy(10 * simElectionTicks)
	configuration := s.leader().replica.log.configuration()
	if configuration.IsVoter(stuck.member.ID) || len(configuration.Voters()) != 3 {
		t.Errorf("the voters are %v, want the learner instead of %s", configuration, stuck.member.Name)
	}
	stuck.storage = StorageWorks
}

// TestStorage_SilentVotersCountAsUnableToCommit guards against proposals and reads that wait in vain, and a log that grows,
// because a voter that can't store the new term, and so doesn't answer, is taken for one that can store entries.
func TestStorage_SilentVotersCountAsUnableToCommit(t *testing.T) {
	s, first := newStorageSimulation(t, 3, nil)
	first.storage = StorageFailing
	s.propose(first)
	s.runHealthy(simElectionTicks / 2)
	leader := s.leader()
	if leader == nil || leader == first {
		t.Fatal("the leader did not hand over")
	}
	for _, n := range s.followers(leader) {
		n.storage = StorageFailing
	}
	s.propose(leader)
	s.runHealthy(2 * simElectionTicks)
	if s.leader() != leader {
		t.Fatal("the leader stepped down although a quorum answers it")
	}
	if _, _, err := leader.replica.Propose(nil); !errors.Is(err, ErrNoStorage) {
		t.Errorf("got error %v, want ErrNoStorage", err)
	}
	s.checkRecovery()
}

// TestStorage_OverdueAnswersSayNothingAboutStorage guards against proposals that are refused because answers from before the
// repair of the disks arrive after the latest ones.
func TestStorage_OverdueAnswersSayNothingAboutStorage(t *testing.T) {
	r := newTestReplica(t, 6)
	leadTestReplica(t, r)
	r.broadcastHeartbeat()
	for _, id := range []ID{2, 3} {
		r.stepFrom(id, r.hard.Term, Message{Type: HeartbeatResponse, Sequence: 2})
		r.stepFrom(id, r.hard.Term, Message{Type: HeartbeatResponse, Sequence: 1, Reject: true})
	}
	if _, _, err := r.Propose(nil); err != nil {
		t.Errorf("got error %v", err)
	}
	for _, id := range []ID{2, 3} {
		r.stepFrom(id, r.hard.Term, Message{Type: HeartbeatResponse, Sequence: 2, Reject: true})
	}
	if _, _, err := r.Propose(nil); !errors.Is(err, ErrNoStorage) {
		t.Errorf("got error %v, want ErrNoStorage", err)
	}
}
