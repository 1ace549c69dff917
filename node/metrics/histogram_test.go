package metrics

import (
	"encoding/json"
	"sync"
	"testing"
	"time"
)

func TestHistogram_CountsUpToEachBound(t *testing.T) {
	var h Histogram
	for _, d := range []time.Duration{0, time.Millisecond, 1500 * time.Microsecond, 150 * time.Millisecond, time.Minute} {
		h.Observe(d)
	}
	var view histogramView
	if err := json.Unmarshal([]byte(h.String()), &view); err != nil {
		t.Fatal(err)
	}
	for bound, want := range map[string]int64{"1": 2, "2": 3, "100": 3, "200": 4, "10000": 4} {
		if got := view.AtMostMS[bound]; got != want {
			t.Errorf("at most %s ms: %d, want %d", bound, got, want)
		}
	}
	if view.Count != 5 || view.SumMS != 60152.5 {
		t.Errorf("count %d, sum %v ms, want 5 and 60152.5", view.Count, view.SumMS)
	}
}

func TestHistogram_AcceptsConcurrentObservations(t *testing.T) {
	var h Histogram
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 1000 {
				h.Observe(time.Millisecond)
				_ = h.String()
			}
		})
	}
	all.Wait()
	if got := h.view().Count; got != 8000 {
		t.Errorf("count %d, want 8000", got)
	}
}
