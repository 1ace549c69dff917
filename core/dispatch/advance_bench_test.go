package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"flamingohall.example/core/work"
)

// newLoadedHarness returns a dispatcher with 300 tasks at 60 workers. The sidecars of some are registered, but have been unreachable
// for longer than their grants.
func newLoadedHarness(t testing.TB, unreachable int) *harness {
	t.Helper()
	h := newHarness(t, 60)
	for n := range unreachable {
		h.core.Attached(h.now, fmt.Sprintf("s%d", n), false)
	}
	for n := range 60 {
		s := submission(fmt.Sprintf("j%d", n), 5, time.Second)
		s.Timeout = 24 * time.Hour
		h.core.Submit(h.now, s)
	}
	for range 20 {
		h.probeFrom(unreachable)
		h.step(100 * time.Millisecond)
	}
	if h.core.Jobs() != 60 || h.total() < 300 || len(h.closed) > 0 {
		t.Fatalf("%d jobs, %d offers, closed %v", h.core.Jobs(), h.total(), h.closed)
	}
	return h
}

// probeFrom lets the sidecars from a number on send probes.
func (h *harness) probeFrom(first int) {
	for n := first; n < 60; n++ {
		h.probes++
		h.core.Take(h.now, fmt.Sprintf("s%d", n), &work.ToEntry{Probe: h.probes})
	}
}

func BenchmarkAdvance(b *testing.B) {
	for _, unreachable := range []int{0, 11, 30} {
		b.Run(fmt.Sprintf("unreachable=%d", unreachable), func(b *testing.B) {
			h := newLoadedHarness(b, unreachable)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if n%50 == 0 {
					h.probeFrom(unreachable)
				}
				h.now += 2 * time.Millisecond
				h.core.Advance(h.now)
				h.core.Effects()
			}
		})
	}
}
