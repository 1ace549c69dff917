package duty

import (
	"context"
	"sync"
	"testing"
	"time"
)

func TestLoop_EveryQueuedInputIsProcessedByOneGoroutine(t *testing.T) {
	ended := make(chan struct{})
	l := NewLoop(8, ended)
	count, advances := 0, 0
	var all, run sync.WaitGroup
	run.Go(func() {
		l.Run(func(time.Duration) time.Duration { advances++; return time.Hour })
	})
	for range 4 {
		all.Go(func() {
			for range 1000 {
				if !l.Put(func(time.Duration) { count++ }) {
					t.Error("an input was not queued")
				}
			}
		})
	}
	all.Wait()
	done := make(chan int)
	l.Put(func(time.Duration) { go func(n int) { done <- n }(count) })
	if got := <-done; got != 4000 {
		t.Errorf("%d inputs processed, want 4000", got)
	}
	close(ended)
	run.Wait()
	if advances < 4000/inputBatch {
		t.Errorf("advanced %d times, want once for at most %d inputs", advances, inputBatch)
	}
	for range 9 {
		// The queue may accept inputs while there is room, and Put must not block.
		l.Put(func(time.Duration) {})
	}
}

func TestLoop_AdvancesAfterTheReturnedDelay(t *testing.T) {
	ended := make(chan struct{})
	l := NewLoop(1, ended)
	times := make(chan time.Duration)
	go l.Run(func(now time.Duration) time.Duration {
		select {
		case times <- now:
		case <-ended:
		}
		return 20 * time.Millisecond
	})
	first := <-times
	if second := <-times; second < first+20*time.Millisecond {
		t.Errorf("advanced again after %v, want 20 ms", second-first)
	}
	close(ended)
}

func TestUntil_ReturnsWhenTheConditionHoldsOrTheContextEnds(t *testing.T) {
	checks := 0
	Until(t.Context(), time.Millisecond, func() bool { checks++; return checks == 3 })
	if checks != 3 {
		t.Errorf("%d checks, want 3", checks)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	Until(ctx, time.Millisecond, func() bool { return false })
}
