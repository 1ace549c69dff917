package control

import (
	"testing"
	"time"
)

// watchUntil runs the watch every period, with a call of each live holder before each round, and returns the retired
// holders.
func watchUntil(h *holders, term uint64, from, until time.Time, all, live []string) []string {
	var retired []string
	for now := from; !now.After(until); now = now.Add(holderWatchPeriod) {
		for _, holder := range live {
			h.renew(holder, term, now, nil)
		}
		for _, due := range h.due(all, term, now) {
			retired = append(retired, due.Holder)
		}
	}
	return retired
}

func TestHolders_SilentHolderIsRetiredOnceAndNotRenewedMeanwhile(t *testing.T) {
	h, start := newHolders(nil), time.Now()
	h.renew("a", 1, start, nil)
	if early := watchUntil(h, 1, start, start.Add(holderTimeout), []string{"a", "b"}, []string{"b"}); len(early) != 0 {
		t.Fatalf("retired %v before the timeout", early)
	}
	late := watchUntil(h, 1, start.Add(holderTimeout+holderWatchPeriod), start.Add(2*holderTimeout), []string{"a", "b"}, []string{"b"})
	if len(late) != 1 || late[0] != "a" {
		t.Fatalf("retired %v, want a once", late)
	}
	if h.renew("a", 1, start.Add(2*holderTimeout), nil) {
		t.Error("renewed while its jobs are being reassigned")
	}
}

func TestHolders_WithoutSuccessorNobodyIsRetired(t *testing.T) {
	h, start := newHolders(nil), time.Now()
	if retired := watchUntil(h, 1, start, start.Add(3*holderTimeout), []string{"a"}, nil); len(retired) != 0 {
		t.Errorf("retired %v", retired)
	}
}

func TestHolders_NewTermAndFreezeRestartTheTimeout(t *testing.T) {
	h, start := newHolders(nil), time.Now()
	watchUntil(h, 1, start, start.Add(holderTimeout), []string{"a", "b"}, []string{"b"})
	if retired := watchUntil(h, 2, start.Add(holderTimeout+holderWatchPeriod), start.Add(2*holderTimeout), []string{"a", "b"}, []string{"b"}); len(retired) != 0 {
		t.Errorf("retired %v within the timeout of a new term", retired)
	}
	afterFreeze := start.Add(5 * holderTimeout)
	if retired := watchUntil(h, 2, afterFreeze, afterFreeze.Add(holderTimeout-holderWatchPeriod), []string{"a", "b"}, []string{"b"}); len(retired) != 0 {
		t.Errorf("retired %v right after a freeze", retired)
	}
}

// A call that waited for its confirmation, or that was confirmed in an earlier term, must not make a live holder look silent.
func TestHolders_DelayedCallsChangeNothing(t *testing.T) {
	h, start := newHolders(nil), time.Now()
	watchUntil(h, 2, start, start.Add(holderTimeout), []string{"a", "b"}, []string{"a", "b"})
	h.renew("a", 2, start, nil)
	if retired := watchUntil(h, 2, start.Add(holderTimeout+holderWatchPeriod), start.Add(holderTimeout+holderWatchPeriod), []string{"a", "b"}, []string{"b"}); len(retired) != 0 {
		t.Errorf("retired %v after a call that was delayed", retired)
	}
	if h.renew("a", 1, start.Add(2*holderTimeout), nil) {
		t.Error("renewed by a call of an earlier term")
	}
}

// TestHolders_PanicDuringAReportLeavesThemUnlocked guards against renewals that wait for good: net/http recovers from the panic of a call.
func TestHolders_PanicDuringAReportLeavesThemUnlocked(t *testing.T) {
	o := newHolders(&Role{})
	func() {
		defer func() {
			if recover() == nil {
				t.Error("no panic without a state")
			}
		}()
		o.waiting(time.Now())
	}()
	if !o.mutex.TryLock() {
		t.Error("the holders stay locked")
	}
}
