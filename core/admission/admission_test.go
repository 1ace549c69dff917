package admission

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestRunTimes_LearnsThroughOutliers(t *testing.T) {
	r := NewRunTimes()
	if got := r.Quantile("e", 50*ms, 0.5); got != 50*ms {
		t.Fatalf("the prior is %v", got)
	}
	for i := range 200 {
		observed := 100 * ms
		if i%10 == 0 {
			observed = time.Minute
		}
		r.Observe("e", 50*ms, observed)
	}
	if got := r.Quantile("e", 50*ms, 0.5); got != 100*ms {
		t.Fatalf("the median is %v", got)
	}
	if got := r.Quantile("e", 200*ms, 0.5); got != 400*ms {
		t.Fatalf("a task declared longer takes %v", got)
	}
}

func TestRunTimes_MeanOfSkewedRuns(t *testing.T) {
	r := NewRunTimes()
	for i := range 120 {
		observed := 50 * ms
		if i%4 == 0 {
			observed = 250 * ms
		}
		if i == 60 {
			observed = time.Hour
		}
		r.Observe("e", 50*ms, observed)
	}
	if got := r.Mean("e", 50*ms); got < 85*ms || got > 105*ms {
		t.Fatalf("the mean is %v", got)
	}
}

func TestBudget_FollowsSuccesses(t *testing.T) {
	b := NewBudget(0.2, 2)
	taken := 0
	for b.Take() {
		taken++
	}
	if taken != 2 {
		t.Fatalf("the burst is %d", taken)
	}
	b.Succeeded(5)
	if !b.Take() || b.Take() {
		t.Fatal("five successes do not allow exactly one more")
	}
}

func TestQuotas_StartsPerSecond(t *testing.T) {
	q := NewQuotas()
	now := time.Unix(0, 0)
	if wait := q.TakeStarts(now, "o", 30, 10); wait != 0 {
		t.Fatal("a job larger than the burst was refused although the owner was idle")
	}
	wait := q.TakeStarts(now, "o", 1, 10)
	if wait < 2*time.Second || wait > 3*time.Second {
		t.Fatalf("the wait is %v", wait)
	}
	if q.TakeStarts(now.Add(wait), "o", 1, 10) != 0 {
		t.Fatal("refused after the indicated wait")
	}
	if q.TakeStarts(now, "other", 1, 0) != 0 {
		t.Fatal("refused although the owner has no quota")
	}
}

func TestAdmit_RefusesWithARetryTime(t *testing.T) {
	fits := Request{Tasks: 8, Work: 400 * ms, Run: 50 * ms, TimeLeft: time.Second, Slots: 8, MaxWaiting: 100}
	if err := Admit(fits); err != nil {
		t.Fatal(err)
	}
	late := fits
	late.Ahead = 16 * time.Second
	if err := Admit(late); err == nil || err.RetryAfter < time.Second || err.RetryAfter > 2*time.Second {
		t.Fatalf("refusal is %v", err)
	}
	full := fits
	full.Waiting = 95
	if err := Admit(full); err == nil || err.RetryAfter < minRetryAfter {
		t.Fatalf("refusal is %v", err)
	}
	greedy := fits
	greedy.Waiting, greedy.OwnerWaiting = 45, 45
	if Admit(greedy) == nil {
		t.Fatal("one owner may fill more than half of the queue")
	}
	alone := fits
	alone.Work = time.Hour
	if err := Admit(alone); err != nil {
		t.Fatal("a job with no work ahead of it was refused")
	}
}
