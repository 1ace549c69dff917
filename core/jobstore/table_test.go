package jobstore

import (
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets the seed of the property tests, so that CI runs are reproducible; flags override it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func store(job, holder string) Store {
	return Store{Job: job, Queue: "q", Holder: holder, Body: []byte("body"), Steps: []uint32{2, 1}, Attempts: 2}
}

func TestTable_JobEndsWithItsLastTask(t *testing.T) {
	table := NewTable(DefaultLimits)
	if answer := table.Store(store("j", "a"), 1); answer.Result != Stored || answer.State != Open || answer.Holder != "a" {
		t.Fatalf("answer %+v", answer)
	}
	for n, task := range []string{"j.0.0.0", "j.0.1.0", "j.0.0.0"} {
		if answer := table.Record(RunEnd{Task: task, Run: 1}, 0); answer.State != Open {
			t.Fatalf("end %d: %+v", n, answer)
		}
	}
	if answer := table.Record(RunEnd{Task: "j.0.0.1", Run: 4}, 7); answer.State != Completed {
		t.Fatalf("answer %+v", answer)
	}
	if answer := table.Cancel("j", 8); answer.State != Completed {
		t.Errorf("a completed job was cancelled: %+v", answer)
	}
	if len(table.Holders()) != 0 || table.bytes != 0 {
		t.Errorf("holders %v, %d bytes", table.Holders(), table.bytes)
	}
}

func TestTable_FailuresCountOnceForEachRun(t *testing.T) {
	table := NewTable(DefaultLimits)
	table.Store(store("j", "a"), 1)
	for range 3 {
		if answer := table.Record(RunEnd{Task: "j.0.0.0", Run: 1, IsFailure: true}, 0); answer.State != Open {
			t.Fatalf("answer %+v", answer)
		}
	}
	table.Record(RunEnd{Task: "j.0.0.1", Run: 1, IsFailure: true}, 0)
	if answer := table.Record(RunEnd{Task: "j.0.0.0", Run: 2, IsFailure: true}, 0); answer.State != Failed {
		t.Errorf("answer %+v", answer)
	}
}

// TestTable_CrashesCountOnceForEachRunAndEndNoJob covers a version of control that ignores crashes: its replicas must agree with
// the others on the state of each job.
func TestTable_CrashesCountOnceForEachRunAndEndNoJob(t *testing.T) {
	table := NewTable(DefaultLimits)
	table.Store(store("j", "a"), 1)
	for _, run := range []uint32{1, 1, 2, 3, 3} {
		if answer := table.RecordCrash(Crash{Task: "j.0.0.0", Run: run}); answer.State != Open {
			t.Fatalf("answer %+v", answer)
		}
	}
	if got := table.Find("j").Progress(0, 0); got.Crashes != 3 || len(got.FailedRuns) != 0 {
		t.Errorf("progress %+v, want three crashes", got)
	}
	if got := table.Find("j").Progress(0, 1); got.Crashes != 0 {
		t.Errorf("progress of another task %+v", got)
	}
}

func TestTable_SameIDIsTheSameJob(t *testing.T) {
	table := NewTable(DefaultLimits)
	table.Store(store("j", "a"), 1)
	if answer := table.Store(store("j", "b"), 2); answer.Result != Known || answer.Holder != "a" {
		t.Errorf("answer %+v", answer)
	}
	table.Cancel("j", 0)
	if answer := table.Store(store("j", "b"), 3); answer.Result != Known || answer.State != Cancelled {
		t.Errorf("answer %+v", answer)
	}
}

func TestTable_RetiredHolderLosesItsJobsAndGetsNoOthers(t *testing.T) {
	table := NewTable(DefaultLimits)
	for n := range 4 {
		table.Store(store(fmt.Sprint("j", n), "a"), 1)
	}
	table.Record(RunEnd{Task: "j0.0.0.1", Run: 1}, 0)
	if moved := table.Retire(Retire{Holder: "a", Successors: []string{"b", "c"}}, 9); moved != 4 {
		t.Fatalf("%d jobs moved, want 4", moved)
	}
	if answer := table.Store(store("new", "a"), 10); answer.Result != HolderRetired {
		t.Errorf("answer %+v", answer)
	}
	assigned := table.HeldBy("b", 8)
	if len(assigned) != 2 || assigned[0].Epoch != 2 || len(table.HeldBy("b", 9)) != 0 || len(table.HeldBy("c", 0)) != 2 {
		t.Fatalf("jobs assigned to b: %+v", assigned)
	}
	if progress := assigned[0].Progress(0, 1); !progress.IsDone {
		t.Errorf("progress %+v", progress)
	}
}

func TestTable_RetireNeedsSuccessors(t *testing.T) {
	table := NewTable(DefaultLimits)
	table.Store(store("j", "a"), 1)
	for _, successors := range [][]string{nil, {"b", "a"}} {
		if moved := table.Retire(Retire{Holder: "a", Successors: successors}, 2); moved != 0 || table.IsRetired("a") {
			t.Errorf("%d jobs moved to %v", moved, successors)
		}
	}
}

func TestTable_EnforcesLimits(t *testing.T) {
	limits := Limits{Bytes: 2 * (jobOverheadBytes + 4), RetentionMS: 10, Retired: 2}
	table := NewTable(limits)
	for n, want := range []Result{Stored, Stored, Full} {
		if answer := table.Store(store(fmt.Sprint(n), "a"), 1); answer.Result != want {
			t.Errorf("job %d: %+v", n, answer)
		}
	}
	table.Cancel("0", 5)
	table.Expire(15)
	if table.Find("0") == nil {
		t.Error("the job was removed too early")
	}
	table.Expire(16)
	if table.Find("0") != nil || table.Find("1") == nil {
		t.Error("the ended job was not removed, or the open one was")
	}
	for n := range 5 {
		table.Retire(Retire{Holder: fmt.Sprint("o", n), Successors: []string{"x"}}, 1)
	}
	if len(table.retired) != 2 || !table.IsRetired("o4") {
		t.Errorf("retired holders are %v", table.retired)
	}
}

func TestTable_InvalidTaskNamesChangeNothing(t *testing.T) {
	table := NewTable(DefaultLimits)
	table.Store(store("j", "a"), 1)
	for _, task := range []string{"", "j", "j.0.0", "j.0.x.0", "j.0.0.2", "j.0.9.0", "j.0.-1.0", "k.0.0.0", "j.0.0.0.0"} {
		if answer := table.Record(RunEnd{Task: task, Run: 1}, 0); answer.Result == Stored {
			t.Errorf("%q: %+v", task, answer)
		}
	}
	if table.Find("j").Progress(0, 0).IsDone {
		t.Error("an invalid task name completed a task")
	}
}

// TestTable_InvariantsUnderRandomRequests applies random requests, some of them repeated, and sometimes restores the
// table from its image.
func TestTable_InvariantsUnderRandomRequests(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limits := Limits{Bytes: 20 * (jobOverheadBytes + 4), RetentionMS: 1 << 40, Retired: 100}
		table := NewTable(limits)
		ended := map[string]State{}
		done := map[string]bool{}
		holders := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		jobs := rapid.SampledFrom([]string{"0", "1", "2", "3", "4"})
		for index := uint64(1); index <= 60; index++ {
			job := jobs.Draw(r, "job")
			task := fmt.Sprintf("%s.0.%d.%d", job, rapid.IntRange(0, 1).Draw(r, "step"), rapid.IntRange(0, 1).Draw(r, "index"))
			switch rapid.IntRange(0, 5).Draw(r, "request") {
			case 0:
				holder := holders.Draw(r, "holder")
				wasRetired := table.IsRetired(holder)
				if answer := table.Store(store(job, holder), index); wasRetired && answer.Result == Stored {
					r.Fatalf("job %s was stored for the retired holder %s", job, holder)
				}
			case 1:
				if answer := table.Record(RunEnd{Task: task, Run: 1}, int64(index)); answer.Result == Stored {
					done[task] = true
				}
			case 2:
				table.Record(RunEnd{Task: task, Run: uint32(rapid.IntRange(1, 3).Draw(r, "run")), IsFailure: true}, int64(index))
			case 3:
				table.Cancel(job, int64(index))
			case 4:
				table.Retire(Retire{Holder: holders.Draw(r, "from"), Successors: []string{holders.Draw(r, "to")}}, index)
			case 5:
				restored := Restore(limits, table.Image())
				if !reflect.DeepEqual(restored.Image(), table.Image()) || restored.bytes != table.bytes {
					r.Fatal("the restored table differs")
				}
				table = restored
			}
			check(r, table, ended, done)
		}
	})
}

// check fails if an ended job changed its state, an open job is missing from the jobs of its retired holder, or a done
// task is no longer done.
func check(r *rapid.T, table *Table, ended map[string]State, done map[string]bool) {
	for id, j := range table.jobs {
		if before, isEnded := ended[id]; isEnded && before != j.State {
			r.Fatalf("the state of ended job %s changed from %v to %v", id, before, j.State)
		}
		if j.State != Open {
			ended[id] = j.State
			continue
		}
		if table.IsRetired(j.Holder) && len(table.HeldBy(j.Holder, 0)) == 0 {
			r.Fatalf("open job %s is missing from the jobs of its retired holder", id)
		}
		for task := range done {
			if job, at, _ := parseTask(task); job == id && !j.Progress(at.step, at.index).IsDone {
				r.Fatalf("task %s is no longer done", task)
			}
		}
	}
}

// TestTable_JobThatWasCancelledBeforeItArrivedIsNotAccepted guards against jobs that started long after the answer to their cancel:
// the cancel overtook the job on its way to control, and left no trace.
func TestTable_JobThatWasCancelledBeforeItArrivedIsNotAccepted(t *testing.T) {
	table := NewTable(DefaultLimits)
	for range 2 {
		if answer := table.Cancel("j", 5); answer != (Answer{Result: Unknown}) {
			t.Fatalf("cancel of an unknown job: %+v", answer)
		}
	}
	if job := table.Find("j"); job == nil || job.State != CancelledEarly {
		t.Fatalf("job %+v", job)
	}
	if answer := Restore(DefaultLimits, table.Image()).Store(store("j", "a"), 9); answer.State != Cancelled {
		t.Errorf("after a restart: %+v", answer)
	}
	if answer := table.Store(store("j", "a"), 9); answer != (Answer{Result: Known, State: Cancelled}) {
		t.Errorf("store after the cancel: %+v", answer)
	}
	if held := table.HeldBy("a", 0); len(held) != 0 {
		t.Errorf("held jobs %v", held)
	}
	if answer := table.Cancel("j", 10); answer.State != Cancelled {
		t.Errorf("cancel of the job that arrived since: %+v", answer)
	}
}

// TestTable_EarlyCancelsAreBoundedAndForgotten guards against a table that grows with each cancel of an unknown job.
func TestTable_EarlyCancelsAreBoundedAndForgotten(t *testing.T) {
	limits := DefaultLimits
	limits.EarlyCancels = 3
	table := NewTable(limits)
	for n := range 10 {
		table.Cancel(fmt.Sprint("j", n), int64(n))
	}
	table.Store(store("j0", "a"), 1)
	table.Cancel("k", 10)
	table.Cancel("l", 10)
	table = Restore(limits, table.Image())
	if table.Len() != 4 || table.Find("k") == nil || table.Find("l") != nil {
		t.Errorf("%d jobs, want j0 to j2 and k", table.Len())
	}
	table.Expire(limits.RetentionMS + 11)
	table.Cancel("m", limits.RetentionMS+11)
	if table.Len() != 1 || table.earlyCancels != 1 {
		t.Errorf("%d jobs, %d early cancels, want 1 of each", table.Len(), table.earlyCancels)
	}
}
