package raft

import "testing"

// ticksUntilPreVote returns the number of ticks without messages after which a replica requests pre-votes.
func ticksUntilPreVote(t *testing.T, r *Replica) uint64 {
	t.Helper()
	for ticks := uint64(1); ticks <= 3*r.config.ElectionTicks; ticks++ {
		r.Tick()
		ready := r.Ready()
		for _, m := range append(ready.Immediate, ready.Messages...) {
			if m.Type == PreVote {
				return ticks
			}
		}
	}
	t.Fatal("no pre-vote was requested")
	return 0
}

func TestReplica_FirstElectionTimeoutIsShorter(t *testing.T) {
	r := newTestReplica(t, 1)
	half := (r.config.ElectionTicks + 1) / 2
	if got := ticksUntilPreVote(t, r); got > half {
		t.Errorf("pre-vote requested %d ticks after the start, want at most %d", got, half)
	}
	for _, leaderTerm := range []uint64{2, 3} {
		r = newTestReplica(t, 1)
		r.stepFrom(2, leaderTerm, Message{Type: Heartbeat})
		if got := ticksUntilPreVote(t, r); got < r.config.ElectionTicks {
			t.Errorf("pre-vote requested %d ticks after the last message of the leader of term %d, want at least %d",
				got, leaderTerm, r.config.ElectionTicks)
		}
	}
}
