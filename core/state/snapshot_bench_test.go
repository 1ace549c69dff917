package state

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"flamingohall.example/core/claim"
)

// fullState returns a state whose claim table is full.
func fullState() *State {
	s := New()
	for n := 0; ; n++ {
		digest := sha256.Sum256(fmt.Append(nil, n))
		job := hex.EncodeToString(digest[:16])
		answer := s.Claims.Claim(claim.Request{
			Job: job, Holder: "savinja-entry-1", Incarnation: "0123456789abcdef", Digest: digest[:],
		}, uint64(n+1), 0, s.Registry.Live)
		if answer.Status == claim.Full {
			return s
		}
		s.Claims.Finish(claim.Finish{Job: job, Epoch: answer.Epoch, Body: make([]byte, 512)}, 0)
	}
}

func BenchmarkState_FullSnapshot(b *testing.B) {
	s := fullState()
	b.ResetTimer()
	for range b.N {
		encoded, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(encoded))/(1<<20), "MiB")
	}
}

func BenchmarkState_FullRestore(b *testing.B) {
	encoded, err := fullState().Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for range b.N {
		if _, err := Restore(encoded); err != nil {
			b.Fatal(err)
		}
	}
}
