package bench

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

func runMSOf(t *testing.T, text json.RawMessage) int {
	t.Helper()
	var decoded payload
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded.RunMS
}

// fakeSender answers every submission after the time that wait returns for its entry index.
type fakeSender struct {
	wait      func(entryIndex int) time.Duration
	fail      func(entryIndex int) error
	cancelled atomic.Int64
}

func (f *fakeSender) submit(ctx context.Context, entryIndex int, submission *client.Submission) (*client.Answer, error) {
	select {
	case <-time.After(f.wait(entryIndex)):
	case <-ctx.Done():
		return nil, fault.New(fault.Unknown, "", "no answer in time")
	}
	if f.fail != nil {
		if err := f.fail(entryIndex); err != nil {
			return nil, err
		}
	}
	answer := &client.Answer{State: client.StateComplete}
	for i, task := range submission.Tasks {
		answer.Tasks = append(answer.Tasks, client.TaskAnswer{Index: i, Outcome: client.OutcomeDone, Result: task.Payload})
	}
	return answer, nil
}

func (f *fakeSender) cancel(context.Context, int, string, string) error {
	f.cancelled.Add(1)
	return nil
}

func always(wait time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return wait }
}

// steadyPlan returns submissions 10 ms apart, each with one task of 10 ms.
func steadyPlan(count int) *Plan {
	plan := new(Plan)
	for i := range count {
		key := string(rune('a' + i))
		task := client.Task{Payload: json.RawMessage(`{"run_ms":10,"echo":"` + echoOf(key, 0) + `"}`)}
		plan.Submissions = append(plan.Submissions, PlannedSubmission{
			At: time.Duration(i) * 10 * time.Millisecond, Ideal: 10 * time.Millisecond, Measured: true,
			Submission: client.Submission{Key: key, DeadlineMS: 1000, Tasks: []client.Task{task}},
		})
	}
	return plan
}

func TestRunner_MeasuresFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &runner{sender: &fakeSender{wait: always(200 * time.Millisecond)}}
		start := time.Now()
		observations := r.drive(t.Context(), steadyPlan(20))
		if elapsed := time.Since(start); elapsed != 390*time.Millisecond {
			t.Errorf("an open loop of 190 ms and a wait of 200 ms took %s", elapsed)
		}
		for _, obs := range observations {
			if obs.ending != complete || obs.response != 200*time.Millisecond || slowdown(obs) != 20*slowdownUnit {
				t.Errorf("%+v", obs)
			}
		}
	})
}

func TestRunner_ResubmitsByAnotherRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		waits := func(index int) time.Duration { return []time.Duration{time.Hour, 30 * time.Millisecond}[index] }
		r := &runner{sender: &fakeSender{wait: waits}}
		plan := steadyPlan(1)
		plan.Submissions[0].ResubmitAfter = 100 * time.Millisecond
		obs := r.drive(t.Context(), plan)[0]
		if obs.ending != complete || obs.response != 130*time.Millisecond || r.resent.Load() != 1 {
			t.Errorf("%+v after %d resubmissions", obs, r.resent.Load())
		}
	})
}

func TestRunner_CancelsOnlyWhatIsInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender := &fakeSender{wait: always(50 * time.Millisecond)}
		r := &runner{sender: sender}
		plan := steadyPlan(2)
		plan.Submissions[0].CancelAt = 20 * time.Millisecond
		plan.Submissions[1].CancelAt = time.Second
		r.drive(t.Context(), plan)
		if got := sender.cancelled.Load(); got != 1 {
			t.Errorf("%d cancellations, want 1", got)
		}
	})
}

func TestRunner_GivesUpAfterTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &runner{sender: &fakeSender{wait: always(time.Hour)}}
		obs := r.drive(t.Context(), steadyPlan(1))[0]
		if obs.ending != unanswered || obs.response != time.Second+answerGrace {
			t.Errorf("%+v", obs)
		}
	})
}

func TestMeasure_SeparatesRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := fault.New(fault.Overloaded, "", "busy")
		fail := func(entryIndex int) error {
			return []error{nil, busy, busy.WithRetryAfter(time.Second), fault.New(fault.Expired, "", "late")}[entryIndex]
		}
		r := &runner{sender: &fakeSender{wait: always(time.Millisecond), fail: fail}}
		result := new(Result)
		scenario := &Scenario{DurationMS: 1000, Classes: []Class{{Name: "a"}}}
		result.measure(scenario, r.drive(t.Context(), steadyPlan(4)))
		got := result.Classes[0]
		if got.Endings["refused"] != 2 || got.RefusedWithoutRetryAfter != 1 || got.Endings["expired"] != 1 || got.TasksDone != 1 {
			t.Errorf("%+v", got)
		}
		if got.RefusalUS.Count != 2 || got.ResponseUS.Count != 1 {
			t.Errorf("refusals %+v, responses %+v", got.RefusalUS, got.ResponseUS)
		}
	})
}

func TestClassify_RejectsForeignAnswers(t *testing.T) {
	planned := &steadyPlan(1).Submissions[0]
	done := func(result string) client.TaskAnswer {
		return client.TaskAnswer{Outcome: client.OutcomeDone, Result: json.RawMessage(result)}
	}
	cases := map[string]*client.Answer{
		"another's result": {State: client.StateComplete, Tasks: []client.TaskAnswer{done(`{"echo":"b#0"}`)}},
		"no tasks":         {State: client.StateComplete},
		"partial":          {State: client.StateComplete, Tasks: []client.TaskAnswer{{Outcome: "failed"}}},
		"failed, no tasks": {State: client.StateFailed},
		"still running":    {State: client.StateRunning, Tasks: []client.TaskAnswer{done(`{}`)}},
	}
	for name, answer := range cases {
		if got, _ := classify(planned, answer, nil); got != wrong {
			t.Errorf("%s: %s, want wrong", name, got)
		}
	}
	own := &client.Answer{State: client.StateComplete, Tasks: []client.TaskAnswer{done(`{"echo":"a#0"}`)}}
	if got, message := classify(planned, own, nil); got != complete {
		t.Errorf("own result: %s %s", got, message)
	}
}

func TestCheckLedgers_FindsViolations(t *testing.T) {
	scenario := &Scenario{Classes: []Class{{Name: "never", NeverRepeated: true}, {Name: "repeatable"}}}
	answer := &client.Answer{Job: "j", Tasks: []client.TaskAnswer{
		{Index: 0, Outcome: "done"}, {Index: 1, Outcome: "not_run"}, {Index: 2, Outcome: "done"}, {Index: 3, Outcome: "not_run"},
	}}
	other := &client.Answer{Job: "k", Tasks: []client.TaskAnswer{{Index: 0, Outcome: "done"}}}
	starts := map[string]int{"j-0": 2, "j-1": 1, "k-0": 3}
	got := checkLedgers(scenario, starts, []observation{
		{planned: &PlannedSubmission{Class: 0}, answer: answer}, {planned: &PlannedSubmission{Class: 1}, answer: other},
	})
	if got.NeverRepeatedTwice != 1 || got.NotRunButStarted != 1 || got.DoneWithoutStart != 1 || got.RepeatedStarts != 2 {
		t.Errorf("%+v", got)
	}
}

func TestLoopbackURLs_RejectsOtherMachines(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "http://example.com", "[2001:db8::1]:80", "0.0.0.0:1"} {
		if _, err := loopbackURLs([]string{address}); err == nil {
			t.Errorf("%s was accepted", address)
		}
	}
	urls, err := loopbackURLs([]string{"127.0.0.1:80", "http://[::1]:81/"})
	if err != nil || strings.Join(urls, " ") != "http://127.0.0.1:80 http://[::1]:81" {
		t.Errorf("%v %v", urls, err)
	}
}

func TestParseStat_CountsFieldsAfterTheName(t *testing.T) {
	got, err := parseStat("12 (a) b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 1 0")
	if err != nil || got != 2*time.Second {
		t.Errorf("%s %v", got, err)
	}
}
