package claim

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// tight makes every limit bite within a short history.
var tight = Limits{AnswerBytes: 600, AnswerMS: 400, RecordBytes: 3000, RecordMS: 1000, MinRecordMS: 300}

// grant is what one process was told that it holds.
type grant struct {
	epoch               uint64
	holder, incarnation string
	body                string
}

// world drives a Table with racing entries that die and come back, and checks each answer against what was promised.
type world struct {
	table *Table
	index uint64
	nowMS int64
	// live holds the current incarnation of each entry; ended entries are absent.
	live map[string]int
	// current is the last grant of each job; finishedAt the time of the finish that was accepted.
	current    map[string]grant
	finishedAt map[string]int64
	answers    map[string]string
	touchedAt  map[string]int64
}

func newWorld() *world {
	return &world{
		table: NewTable(tight), live: map[string]int{}, current: map[string]grant{},
		finishedAt: map[string]int64{}, answers: map[string]string{}, touchedAt: map[string]int64{},
	}
}

func (w *world) isLive(id, incarnation string) bool {
	number, found := w.live[id]
	return found && fmt.Sprint(number) == incarnation
}

// promised reports whether the table must still remember the job.
func (w *world) promised(job string) bool {
	at, touched := w.touchedAt[job]
	return touched && w.nowMS < at+tight.MinRecordMS
}

func (w *world) claim(t *rapid.T) {
	job := rapid.SampledFrom([]string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8"}).Draw(t, "job")
	holder := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "holder")
	incarnation := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "incarnation"))
	request := Request{Job: job, Holder: holder, Incarnation: incarnation, Digest: []byte(job)}
	request.Targets = []Target{{ID: rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "target"), Incarnation: "x"}}
	before, held := w.current[job]
	kind := rapid.IntRange(0, 3).Draw(t, "kind")
	switch kind {
	case 1:
		request.TakeOverEpoch = before.epoch
		request.HolderGone = rapid.Bool().Draw(t, "gone")
	case 2:
		request.ExtendEpoch = before.epoch
	case 3:
		request.Digest = []byte("other")
	}
	w.index++
	answer := w.table.Claim(request, w.index, w.nowMS, w.isLive)
	known := w.promised(job)
	other := before.body != string(request.Digest)
	if other && known && answer.Status != Conflict {
		t.Fatalf("another body got %v", answer.Status)
	}
	_, finished := w.finishedAt[job]
	if finished && known && !other && answer.Status != Finished {
		t.Fatalf("a finished job got %v", answer.Status)
	}
	if answer.Status == Finished && len(answer.Body) > 0 && string(answer.Body) != w.answers[job] {
		t.Fatalf("the stored answer is %q, not %q", answer.Body, w.answers[job])
	}
	if answer.Status != Granted {
		return
	}
	w.checkGrant(t, request, answer, before, held && known)
	if before.epoch != answer.Epoch {
		delete(w.finishedAt, job)
	}
	w.current[job] = grant{epoch: answer.Epoch, holder: holder, incarnation: incarnation, body: string(request.Digest)}
	w.touchedAt[job] = w.nowMS
}

// checkGrant: a job that must be remembered changes hands only by a takeover from a process that is not live, or that
// the caller found gone.
func (w *world) checkGrant(t *rapid.T, request Request, answer Answer, before grant, known bool) {
	if !known {
		if answer.Epoch < before.epoch {
			t.Fatal("an epoch went back")
		}
		return
	}
	same := before.holder == request.Holder && before.incarnation == request.Incarnation
	if same && answer.Epoch != before.epoch {
		t.Fatal("a resend changed the epoch")
	}
	if same {
		return
	}
	if w.isLive(before.holder, before.incarnation) && !request.HolderGone {
		t.Fatalf("%v was granted while %v is live", request, before)
	}
	if request.TakeOverEpoch != before.epoch || answer.Epoch <= before.epoch {
		t.Fatalf("takeover of %v with %v got epoch %d", before, request, answer.Epoch)
	}
}

func (w *world) finish(t *rapid.T) {
	job := rapid.SampledFrom([]string{"j1", "j2", "j3", "j4"}).Draw(t, "job")
	epoch := w.current[job].epoch
	old := rapid.Bool().Draw(t, "old") && epoch > 1
	if old {
		epoch--
	}
	body := rapid.StringN(1, 30, 30).Draw(t, "body")
	status := w.table.Finish(Finish{Job: job, Epoch: epoch, Body: []byte(body)}, w.nowMS)
	if old && status != Fenced {
		t.Fatalf("a finish under an old epoch got %v", status)
	}
	if status != Finished {
		if !old && w.promised(job) {
			t.Fatalf("the holder's finish got %v", status)
		}
		return
	}
	if _, again := w.finishedAt[job]; again {
		return
	}
	w.finishedAt[job] = w.nowMS
	w.answers[job] = body
	w.touchedAt[job] = w.nowMS
}

// entryEvent kills an entry, or starts its next incarnation.
func (w *world) entryEvent(t *rapid.T) {
	id := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "id")
	if rapid.Bool().Draw(t, "dies") {
		delete(w.live, id)
		return
	}
	w.live[id] = rapid.IntRange(0, 3).Draw(t, "incarnation")
}

func (w *world) pass(t *rapid.T) {
	w.nowMS += rapid.Int64Range(0, 350).Draw(t, "ms")
}

// restart replaces the table by one made from its image.
func (w *world) restart(t *rapid.T) {
	before := w.table.Image()
	w.table = Restore(tight, before)
	if !reflect.DeepEqual(before, w.table.Image()) {
		t.Fatal("a restart changed the table")
	}
}

func (w *world) check(t *rapid.T) {
	answers, records := 0, 0
	for element := w.table.order.Front(); element != nil; element = element.Next() {
		job := element.Value.(*record)
		if job.Finished {
			answers += job.size()
			records += stubSize
			continue
		}
		records += job.size()
	}
	records += stubSize * w.table.stubs.len()
	if answers != w.table.answerBytes || answers > tight.AnswerBytes {
		t.Fatalf("answers hold %d bytes, counted %d", answers, w.table.answerBytes)
	}
	if records != w.table.recordBytes {
		t.Fatalf("records hold %d bytes, counted %d", records, w.table.recordBytes)
	}
}

func TestTable_OneHolderWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"claim": w.claim, "claim2": w.claim, "finish": w.finish, "entry": w.entryEvent, "pass": w.pass,
			"restart": w.restart, "": w.check,
		})
	})
}

func TestTable_FullOfYoungJobsRefuses(t *testing.T) {
	table := NewTable(tight)
	live := func(string, string) bool { return true }
	claim := func(n int, nowMS int64) Status {
		return table.Claim(Request{Job: fmt.Sprint(n), Holder: "e", Incarnation: "1"}, uint64(n+1), nowMS, live).Status
	}
	n := 0
	for claim(n, 0) == Granted {
		n++
	}
	if got := claim(n, tight.MinRecordMS-1); got != Full {
		t.Fatalf("a claim that would forget a young job got %v", got)
	}
	if got := claim(n, tight.MinRecordMS); got != Granted {
		t.Fatalf("a claim that forgets an old job got %v", got)
	}
	if got := claim(0, tight.MinRecordMS); got != Granted {
		t.Fatalf("the oldest job was to be forgotten, it got %v", got)
	}
}

func TestTable_AnswerGoesBeforeTheRecord(t *testing.T) {
	table := NewTable(tight)
	live := func(string, string) bool { return true }
	request := Request{Job: "j", Holder: "e", Incarnation: "1"}
	first := table.Claim(request, 1, 0, live)
	table.Finish(Finish{Job: "j", Epoch: first.Epoch, Body: []byte("answer")}, 0)
	for _, c := range []struct {
		nowMS  int64
		status Status
		body   string
	}{
		{tight.AnswerMS - 1, Finished, "answer"},
		{tight.AnswerMS, Finished, ""},
		{tight.RecordMS - 1, Finished, ""},
		{tight.RecordMS, Granted, ""},
	} {
		got := table.Claim(request, 2, c.nowMS, live)
		if got.Status != c.status || string(got.Body) != c.body {
			t.Fatalf("at %d ms: %v %q", c.nowMS, got.Status, got.Body)
		}
	}
}
