package burn

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingohall.example/core/catalogue"
)

var (
	start      = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	objectives = map[string]catalogue.Objective{
		"levy/validate": {LatencyMS: 400, Ratio: 0.99},
		"lots/check":    {LatencyMS: 300, Ratio: 0.999},
	}
)

// event is one submission of a generated history.
type event struct {
	at    time.Time
	entry string
	owner string
	good  bool
}

func drawHistory(t *rapid.T) ([]event, time.Time) {
	now := start
	count := rapid.IntRange(0, 200).Draw(t, "count")
	history := make([]event, 0, count)
	for range count {
		pause := rapid.SampledFrom([]time.Duration{0, time.Second, time.Minute, 40 * time.Minute, 5 * time.Hour})
		now = now.Add(pause.Draw(t, "pause"))
		history = append(history, event{
			at:    now,
			entry: rapid.SampledFrom([]string{"levy/validate", "lots/check", "gone"}).Draw(t, "entry"),
			owner: rapid.SampledFrom([]string{"levy", "desk"}).Draw(t, "owner"),
			good:  rapid.Bool().Draw(t, "good"),
		})
	}
	end := now.Add(time.Duration(rapid.IntRange(0, 100*3600).Draw(t, "rest")) * time.Second)
	return history, end
}

// countEvents returns the expected counts of a window, computed from the whole history.
func countEvents(history []event, row Row, window Window, end time.Time) (good, bad uint64) {
	length := time.Duration(window.Seconds) * time.Second
	first := bucketNumber(end, length) - bucketsPerWindow + 1
	for _, e := range history {
		if e.entry != row.Entry || e.owner != row.Owner || bucketNumber(e.at, length) < first {
			continue
		}
		if e.good {
			good++
		} else {
			bad++
		}
	}
	return good, bad
}

func TestReport_CountsSubmissionsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history, end := drawHistory(t)
		recorder := NewRecorder()
		for _, e := range history {
			recorder.Record(e.at, e.entry, e.owner, e.good)
		}
		for _, row := range recorder.Report(end, objectives).Rows {
			for _, window := range row.Windows {
				good, bad := countEvents(history, row, window, end)
				if window.Good != good || window.Bad != bad {
					t.Fatalf("%s %s over %d s: %d/%d, want %d/%d",
						row.Entry, row.Owner, window.Seconds, window.Good, window.Bad, good, bad)
				}
			}
		}
	})
}

func TestMerge_EqualsOneRecorderOfAllSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history, end := drawHistory(t)
		whole, first, second := NewRecorder(), NewRecorder(), NewRecorder()
		for _, e := range history {
			whole.Record(e.at, e.entry, e.owner, e.good)
			part := first
			if rapid.Bool().Draw(t, "second entry") {
				part = second
			}
			part.Record(e.at, e.entry, e.owner, e.good)
		}
		want := whole.Report(end, objectives)
		got := Merge(first.Report(end, objectives), second.Report(end, objectives))
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("merged %+v, want %+v", got, want)
		}
	})
}

func TestReport_AlertsOnTwoWindowsAtOnce(t *testing.T) {
	recorder := NewRecorder()
	record := func(at time.Time, good, bad int) {
		for range good {
			recorder.Record(at, "levy/validate", "levy", true)
		}
		for range bad {
			recorder.Record(at, "levy/validate", "levy", false)
		}
	}
	alert := func(at time.Time) Alert { return recorder.Report(at, objectives).Rows[0].Alert }
	record(start, 80, 20)
	if got := alert(start); got != AlertPage {
		t.Errorf("alert at 20 times the budget now: %s", got)
	}
	later := start.Add(2 * time.Hour)
	record(later, 100, 0)
	if got := alert(later); got != AlertTicket {
		t.Errorf("alert at 10 times the budget two hours ago: %s", got)
	}
	record(later, 3000, 0)
	if got := alert(later); got != AlertNone {
		t.Errorf("alert within the budget: %s", got)
	}
}

func TestRecorder_LimitsItsPairs(t *testing.T) {
	recorder := NewRecorder()
	for i := range 2 * MaxPairs {
		recorder.Record(start, "entry", string(rune('a'+i)), false)
	}
	if got := recorder.Pairs(); got != MaxPairs+1 {
		t.Fatalf("%d pairs, want %d and Other", got, MaxPairs)
	}
	recorder.Record(start.Add(4*24*time.Hour), "entry", "new", true)
	if got := recorder.Pairs(); got != 1 {
		t.Fatalf("%d pairs after four idle days, want 1", got)
	}
	if BytesPerPair > 2048 {
		t.Fatalf("a pair takes %d bytes, want at most 2048", BytesPerPair)
	}
}

func TestReport_RoundTripsThroughJSON(t *testing.T) {
	recorder := NewRecorder()
	recorder.Record(start, "levy/validate", "levy", false)
	recorder.Record(start.Add(-time.Hour), "levy/validate", "levy", true) // A clock that went back.
	report := recorder.Report(start, objectives)
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(text, &back); err != nil || !reflect.DeepEqual(back, report) {
		t.Fatalf("read back %+v, %v", back, err)
	}
}
