package losses_test

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/losses"
)

var begin = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func at(ms int) string {
	return begin.Add(time.Duration(ms) * time.Millisecond).Format("2006-01-02T15:04:05.000Z")
}

// ready is the line of a sidecar whose worker of 16 cores takes tasks from a time on.
func ready(node string, ms int) string {
	return fmt.Sprintf(`{"event":3207,"state":"ready","millicores":16000,"node":%q,"time":%q}`, node, at(ms))
}

// ended is the line of a job of two tasks of one core that ended at a time; fields replace or add to the others.
func ended(job string, ms int, fields string) string {
	return fmt.Sprintf(`{"event":2301,"job":%q,"queue":"q","node":"e1","time":%q,"tasks":2,"millicores":1000,"objective_ms":200,"expected_ms":100,"held_ms":0,%s}`,
		job, at(ms), fields)
}

func read(t *testing.T, lines ...string) *losses.Report {
	t.Helper()
	report, err := losses.Read(time.Second, strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestRead_NamesTheFirstCauseOfEachJob(t *testing.T) {
	for name, c := range map[string]struct{ fields, cause string }{
		"in time":         {`"result":"completed","took_ms":150,"run_ms":100`, ""},
		"queued":          {`"result":"completed","took_ms":300,"queued_ms":190,"run_ms":110`, "late: waited at the worker"},
		"offered again":   {`"result":"completed","took_ms":300,"reoffered_ms":150,"queued_ms":40,"run_ms":110`, "late: offers refused and made again"},
		"failed run":      {`"result":"completed","failures":1,"took_ms":300,"reoffered_ms":150,"queued_ms":40,"run_ms":110`, "late: a run failed"},
		"waited at entry": {`"result":"completed","took_ms":300,"offered_ms":180,"run_ms":110`, "late: waited at the entry"},
		"held":            {`"result":"completed","took_ms":600,"held_ms":400,"offered_ms":410,"run_ms":110`, "late: held for the start of the entry"},
		"long run":        {`"result":"completed","took_ms":400,"queued_ms":20,"run_ms":370`, ""},
		"slow worker":     {`"result":"completed","took_ms":400,"queued_ms":20,"run_ms":370,"worker":"w1"`, "late: ran on a slow worker"},
		"full":            {`"result":"refused","cause":"overloaded","predicted_wait_ms":40,"free_millicores":500`, "refused: predicted wait, no capacity free"},
		"pieces":          {`"result":"refused","cause":"overloaded","predicted_wait_ms":40,"free_millicores":5000`, "refused: predicted wait, while enough capacity was free in pieces"},
		"refused at start": {
			`"result":"refused","cause":"overloaded","took_ms":400,"held_ms":400`,
			"refused: held for the start of the entry",
		},
		"no workers": {`"result":"refused","cause":"no workers"`, "refused: no workers"},
		"untried":    {`"result":"given up","cause":"deadline passed","offers":0,"took_ms":900`, "given up: never offered"},
		"expired":    {`"result":"given up","cause":"deadline passed","offers":3,"took_ms":900`, "given up: deadline passed"},
		"failed":     {`"result":"failed","cause":"task failed"`, "failed: task failed"},
	} {
		t.Run(name, func(t *testing.T) {
			report := read(t, ended("j", 1000, c.fields))
			switch {
			case c.cause == "" && len(report.Causes) > 0:
				t.Errorf("causes %+v, want none", report.Causes)
			case c.cause != "" && (len(report.Causes) != 1 || report.Causes[0].Name != c.cause):
				t.Errorf("causes %+v, want %q", report.Causes, c.cause)
			}
		})
	}
}

func TestRead_CountsByWindowQueueEntryAndWorkerAndComparesWithThePlan(t *testing.T) {
	report := read(t,
		ready("w1", 0),
		ended("early", 200, `"result":"completed","took_ms":150,"run_ms":100,"worker":"w1"`),
		ended("late", 1400, `"result":"completed","took_ms":300,"queued_ms":200,"run_ms":100,"worker":"w1"`),
		ended("refused", 1500, `"result":"refused","cause":"overloaded","predicted_wait_ms":40`),
		ended("left", 1600, `"result":"cancelled","cause":"requested"`),
		`a line of something else`,
	)
	if all := report.All; all.Asked != 3 || all.InTime != 1 || all.Late != 1 || all.Refused != 1 || all.Planned != 3 {
		t.Errorf("all %+v, want 3 asked, one of each, and 3 planned in time on an idle worker", all)
	}
	if len(report.Windows) != 2 || report.Windows[0].InTime != 1 || report.Windows[1].Late != 1 || report.Windows[1].Refused != 1 {
		t.Errorf("windows %+v", report.Windows)
	}
	if len(report.Workers) != 1 || report.Workers[0].Asked != 2 || len(report.Entries) != 1 || len(report.Queues) != 1 {
		t.Errorf("workers %+v, entries %+v, queues %+v", report.Workers, report.Entries, report.Queues)
	}
	if got := report.Windows[0].Utilisation; got < 0.01 || got > 0.02 {
		t.Errorf("utilisation %.4f, want 0.2 of about 16 core-seconds", got)
	}
	if len(report.Gaps) != 1 || !strings.Contains(report.Gaps[0], "1 lines could not be read") {
		t.Errorf("gaps %q", report.Gaps)
	}
}

// A worker that was down does not serve the plan, also if its sidecar lost power without a line.
func TestRead_PlanUsesWorkersOnlyWhileTheyAreUp(t *testing.T) {
	const refused = `"result":"refused","cause":"overloaded","predicted_wait_ms":40`
	report := read(t,
		ready("w1", 0), ended("up", 100, refused),
		fmt.Sprintf(`{"event":3205,"node":"w1","task":"t","run":1,"time":%q}`, at(300)),
		ended("down", 2000, refused),
		fmt.Sprintf(`{"event":1001,"node":"w1","version":"v1","time":%q}`, at(3000)),
		ready("w1", 3100), ended("back", 3500, refused),
	)
	var planned []int
	for _, w := range report.Windows {
		planned = append(planned, w.Planned)
	}
	if fmt.Sprint(planned) != "[1 0 1]" {
		t.Errorf("planned in windows %v, want the middle one empty", planned)
	}
}

func TestRead_BadInputIsAnErrorOrAGap(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		kind fault.Kind
	}{
		"no logs":       {"", fault.NotFound},
		"no job":        {ready("w1", 0), fault.NotFound},
		"too long line": {strings.Repeat("x", 2<<20), fault.Malformed},
	} {
		if _, err := losses.Read(time.Second, strings.NewReader(c.text)); !fault.Is(err, c.kind) {
			t.Errorf("%s: error %v, want kind %s", name, err, c.kind)
		}
	}
	if _, err := losses.Read(0, strings.NewReader(ended("j", 0, `"result":"completed"`))); !fault.Is(err, fault.Invalid) {
		t.Errorf("window 0: error %v, want kind invalid", err)
	}
	whole := ended("j", 1000, `"result":"completed","took_ms":100`)
	for name, c := range map[string]struct {
		lines []string
		gap   string
	}{
		"cut line":      {[]string{whole, whole[:40]}, "1 lines could not be read"},
		"dropped lines": {[]string{whole, `{"level":"warn","message":"log lines dropped","lines":3}`}, "left out lines under load 1 times"},
		"older build": {
			[]string{whole, fmt.Sprintf(`{"event":2301,"job":"k","queue":"q","node":"e2","time":%q,"result":"completed","took_ms":900,"objective_ms":200}`, at(2000))},
			"1 jobs were logged by a build that doesn't write their stages",
		},
		"two builds": {[]string{
			whole, fmt.Sprintf(`{"event":1001,"version":"v1","node":"a","time":%q}`, at(0)),
			fmt.Sprintf(`{"event":1001,"version":"v2","node":"b","time":%q}`, at(0)),
		}, "2 versions"},
		"clocks that differ": {[]string{
			whole, fmt.Sprintf(`{"event":3205,"task":"t","run":1,"node":"w1","time":%q}`, at(0)),
			fmt.Sprintf(`{"event":2302,"task":"t","run":1,"node":"e1","time":%q}`, at(2400)),
		}, "the clock of w1 differs by about 2.4s"},
	} {
		report := read(t, c.lines...)
		if !strings.Contains(strings.Join(report.Gaps, "\n"), c.gap) {
			t.Errorf("%s: gaps %q, want %q", name, report.Gaps, c.gap)
		}
	}
}

// lineSource yields a given number of lines of jobs, refused offers and others, without holding them in memory.
type lineSource struct {
	count, total int
	rest         []byte
}

func (s *lineSource) Read(into []byte) (int, error) {
	for len(s.rest) < len(into) && s.count < s.total {
		var line string
		switch s.count % 4 {
		case 0, 1:
			line = ended(fmt.Sprintf("%016x", s.count), s.count, `"result":"completed","took_ms":150,"run_ms":100,"queued_ms":50,"worker":"w1"`)
		case 2:
			line = fmt.Sprintf(`{"event":3205,"task":"t%d","run":1,"node":"w1","time":%q}`, s.count, at(s.count))
		default:
			line = fmt.Sprintf(`{"event":2302,"task":"t%d","run":1,"node":"e1","time":%q}`, s.count-1, at(s.count))
		}
		s.rest = append(append(s.rest, line...), '\n')
		s.count++
	}
	n := copy(into, s.rest)
	s.rest = s.rest[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// BenchmarkRead reads a million lines; the report has to take less than 20 s and 500 MB.
func BenchmarkRead(b *testing.B) {
	const lines = 1_000_000
	for b.Loop() {
		report, err := losses.Read(2*time.Second, strings.NewReader(ready("w1", 0)+"\n"), &lineSource{total: lines})
		if err != nil || report.All.Asked != lines/2 {
			b.Fatalf("%+v, %v", report.All, err)
		}
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.Sys)/(1<<20), "MB")
}

// A job counts as late by its measured run time, also if its entry expected a longer run and allowed it more time.
func TestRead_ObjectiveFollowsTheMeasuredRunTime(t *testing.T) {
	report := read(t,
		ended("usual", 1000, `"result":"completed","took_ms":110,"run_ms":100,"worker":"w1"`),
		ended("short", 2000, `"result":"completed","took_ms":150,"queued_ms":100,"run_ms":50`),
	)
	if report.All.Late != 1 || len(report.Causes) != 1 || report.Causes[0].Name != "late: waited at the worker" {
		t.Errorf("all %+v, causes %+v, want the short job late: 150 ms instead of 100", report.All, report.Causes)
	}
}
