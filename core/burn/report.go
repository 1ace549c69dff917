package burn

import (
	"cmp"
	"slices"
	"time"

	"flamingohall.example/core/catalogue"
)

// Alert is the alert level of a row.
type Alert string

// Alert levels, the least severe first.
const (
	// AlertNone means that no alert is raised.
	AlertNone Alert = "none"
	// AlertTicket requires attention within days: the budget of three days is being overspent.
	AlertTicket Alert = "ticket"
	// AlertPage requires attention at once: the budget will be used up within hours.
	AlertPage Alert = "page"
)

// Burn rates above which an alert is raised. Each has to be exceeded in two windows.
const (
	fastBurn   = 14.4
	mediumBurn = 6.0
	slowBurn   = 1.0
)

// Report holds the burn rates of all pairs at one time. Rows are ordered by entry and owner.
type Report struct {
	// AtUnixMS is the time of the report, in milliseconds since the Unix epoch.
	AtUnixMS int64 `json:"at_unix_ms"`
	Rows     []Row `json:"rows"`
}

// Row holds the burn rates of one catalogue entry and owner.
type Row struct {
	Entry string `json:"entry"`
	Owner string `json:"owner"`
	// Objective is nil if the current catalogue doesn't contain the entry; the burn rates are then 0.
	Objective *Objective `json:"objective,omitempty"`
	// Windows are ordered by length, the shortest first.
	Windows []Window `json:"windows"`
	// BudgetLeft is the share of the longest window's error budget that is left; negative if it is overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert"`
	// LastHour holds the minutes of the last hour in which a submission was counted, oldest first.
	LastHour []Minute `json:"last_hour"`
}

// Objective is the service level objective of a row.
type Objective struct {
	// LatencyMS is the longest response time that counts as good, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// Ratio is the share of submissions that must be good, between 0 and 1.
	Ratio float64 `json:"ratio"`
}

// Window holds the counts of one period that ends at the time of the report.
type Window struct {
	// Seconds is the window's length.
	Seconds int64  `json:"seconds"`
	Good    uint64 `json:"good"`
	Bad     uint64 `json:"bad"`
	// BurnRate is the share of bad submissions divided by the share that the objective allows; 0 without submissions.
	BurnRate float64 `json:"burn_rate"`
}

// Minute holds the counts of one minute.
type Minute struct {
	// StartUnix is the start of the minute, in seconds since the Unix epoch.
	StartUnix int64  `json:"start_unix"`
	Good      uint64 `json:"good"`
	Bad       uint64 `json:"bad"`
}

// Report returns the burn rates of all pairs. Objectives are keyed by the name of the catalogue entry.
func (r *Recorder) Report(now time.Time, objectives map[string]catalogue.Objective) Report {
	report := Report{AtUnixMS: now.UnixMilli(), Rows: []Row{}}
	for key, rings := range r.pairs {
		report.Rows = append(report.Rows, newRow(now, key, rings, objectives))
	}
	sortRows(report.Rows)
	return report
}

// Objectives returns the objectives of a catalogue by entry name, for use with Report.
func Objectives(doc catalogue.Document) map[string]catalogue.Objective {
	objectives := make(map[string]catalogue.Objective, len(doc.Entries))
	for _, entry := range doc.Entries {
		objectives[entry.Name] = entry.Objective
	}
	return objectives
}

func newRow(now time.Time, key pair, rings *counters, objectives map[string]catalogue.Objective) Row {
	row := Row{Entry: key.entry, Owner: key.owner, LastHour: []Minute{}}
	if objective, known := objectives[key.entry]; known {
		row.Objective = &Objective{LatencyMS: objective.LatencyMS, Ratio: objective.Ratio}
	}
	for i, length := range windows {
		row.Windows = append(row.Windows, sum(now, length, &rings[i]))
	}
	row.LastHour = minutes(now, &rings[hourIndex])
	row.computeBurn()
	return row
}

func sum(now time.Time, length time.Duration, r *ring) Window {
	window := Window{Seconds: int64(length / time.Second)}
	r.visitBuckets(bucketNumber(now, length), func(_ int64, b bucket) {
		window.Good += uint64(b.good)
		window.Bad += uint64(b.bad)
	})
	return window
}

func minutes(now time.Time, r *ring) []Minute {
	width := int64(hourWindow / bucketsPerWindow / time.Second)
	counts := []Minute{}
	r.visitBuckets(bucketNumber(now, hourWindow), func(number int64, b bucket) {
		if b.good+b.bad > 0 {
			counts = append(counts, Minute{StartUnix: number * width, Good: uint64(b.good), Bad: uint64(b.bad)})
		}
	})
	return counts
}

// computeBurn computes the burn rates, the remaining budget and the alert from the counts and the objective.
func (r *Row) computeBurn() {
	r.Alert = AlertNone
	r.BudgetLeft = 1
	if r.Objective == nil || len(r.Windows) != WindowCount {
		return
	}
	for i := range r.Windows {
		r.Windows[i].computeBurn(r.Objective.Ratio)
	}
	r.BudgetLeft = 1 - r.Windows[threeDayIndex].BurnRate
	r.Alert = r.alert()
}

func (w *Window) computeBurn(ratio float64) {
	total := w.Good + w.Bad
	w.BurnRate = 0
	if total == 0 || ratio >= 1 {
		return
	}
	w.BurnRate = float64(w.Bad) / float64(total) / (1 - ratio)
}

func (r *Row) alert() Alert {
	exceeds := func(long, short int, rate float64) bool {
		return r.Windows[long].BurnRate > rate && r.Windows[short].BurnRate > rate
	}
	switch {
	case exceeds(hourIndex, fiveMinuteIndex, fastBurn), exceeds(sixHourIndex, hourIndex, mediumBurn):
		return AlertPage
	case exceeds(threeDayIndex, sixHourIndex, slowBurn):
		return AlertTicket
	}
	return AlertNone
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Owner, b.Owner))
	})
}
