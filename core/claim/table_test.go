package claim

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// testLimits are low enough to be reached in a short history.
var testLimits = Limits{AnswerBytes: 600, AnswerMS: 400, RecordBytes: 3000, RecordMS: 1000, MinRecordMS: 300}

// grant is a claim that was granted to a process.
type grant struct {
	epoch               uint64
	holder, incarnation string
	body                string
}

// simulation runs a Table with concurrent entries that stop and restart, and checks each answer against a model.
type simulation struct {
	table *Table
	index uint64
	nowMS int64
	// live holds the current incarnation of each running entry.
	live map[string]int
	// current is the last grant of each job; finishedAt is the time at which its Finish was accepted.
	current    map[string]grant
	finishedAt map[string]int64
	answers    map[string]string
	touchedAt  map[string]int64
}

func newSimulation() *simulation {
	return &simulation{
		table: NewTable(testLimits), live: map[string]int{}, current: map[string]grant{},
		finishedAt: map[string]int64{}, answers: map[string]string{}, touchedAt: map[string]int64{},
	}
}

func (s *simulation) isLive(id, incarnation string) bool {
	number, found := s.live[id]
	return found && fmt.Sprint(number) == incarnation
}

// mustRemember reports whether the table must still remember the job.
func (s *simulation) mustRemember(job string) bool {
	at, touched := s.touchedAt[job]
	return touched && s.nowMS < at+testLimits.MinRecordMS
}

func (s *simulation) claim(t *rapid.T) {
	job := rapid.SampledFrom([]string{"j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8"}).Draw(t, "job")
	holder := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "holder")
	incarnation := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "incarnation"))
	request := Request{Job: job, Holder: holder, Incarnation: incarnation, Digest: []byte(job)}
	request.Targets = []Target{{ID: rapid.SampledFrom([]string{"t1", "t2", "t3"}).Draw(t, "target"), Incarnation: "x"}}
	before, held := s.current[job]
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
	s.index++
	answer := s.table.Claim(request, s.index, s.nowMS, s.isLive)
	known := s.mustRemember(job)
	other := before.body != string(request.Digest)
	if other && known && answer.Status != Conflict {
		t.Fatalf("a claim with a different body got status %v", answer.Status)
	}
	_, finished := s.finishedAt[job]
	if finished && known && !other && answer.Status != Finished {
		t.Fatalf("a claim of a finished job got status %v", answer.Status)
	}
	if answer.Status == Finished && len(answer.Body) > 0 && string(answer.Body) != s.answers[job] {
		t.Fatalf("the stored answer is %q, want %q", answer.Body, s.answers[job])
	}
	if answer.Status != Granted {
		return
	}
	s.checkGrant(t, request, answer, before, held && known)
	if before.epoch != answer.Epoch {
		delete(s.finishedAt, job)
	}
	s.current[job] = grant{epoch: answer.Epoch, holder: holder, incarnation: incarnation, body: string(request.Digest)}
	s.touchedAt[job] = s.nowMS
}

// checkGrant checks that the holder of a job that must be remembered changes only by a takeover, and only if the
// previous holder is not live or the caller found that its process has ended.
func (s *simulation) checkGrant(t *rapid.T, request Request, answer Answer, before grant, known bool) {
	if !known {
		if answer.Epoch < before.epoch {
			t.Fatal("the epoch decreased")
		}
		return
	}
	same := before.holder == request.Holder && before.incarnation == request.Incarnation
	if same && answer.Epoch != before.epoch {
		t.Fatal("a repeated claim changed the epoch")
	}
	if same {
		return
	}
	if s.isLive(before.holder, before.incarnation) && !request.HolderGone {
		t.Fatalf("%v was granted while the holder of %v is live", request, before)
	}
	if request.TakeOverEpoch != before.epoch || answer.Epoch <= before.epoch {
		t.Fatalf("takeover of %v by %v was granted epoch %d", before, request, answer.Epoch)
	}
}

func (s *simulation) finish(t *rapid.T) {
	job := rapid.SampledFrom([]string{"j1", "j2", "j3", "j4"}).Draw(t, "job")
	epoch := s.current[job].epoch
	old := rapid.Bool().Draw(t, "old") && epoch > 1
	if old {
		epoch--
	}
	body := rapid.StringN(1, 30, 30).Draw(t, "body")
	status := s.table.Finish(Finish{Job: job, Epoch: epoch, Body: []byte(body)}, s.nowMS)
	if old && status != Fenced {
		t.Fatalf("Finish under an old epoch got status %v", status)
	}
	if status != Finished {
		if !old && s.mustRemember(job) {
			t.Fatalf("Finish by the holder got status %v", status)
		}
		return
	}
	if _, again := s.finishedAt[job]; again {
		return
	}
	s.finishedAt[job] = s.nowMS
	s.answers[job] = body
	s.touchedAt[job] = s.nowMS
}

// changeEntry stops an entry or starts an incarnation of it.
func (s *simulation) changeEntry(t *rapid.T) {
	id := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "id")
	if rapid.Bool().Draw(t, "dies") {
		delete(s.live, id)
		return
	}
	s.live[id] = rapid.IntRange(0, 3).Draw(t, "incarnation")
}

func (s *simulation) advanceClock(t *rapid.T) {
	s.nowMS += rapid.Int64Range(0, 350).Draw(t, "ms")
}

// restart replaces the table by one restored from its image.
func (s *simulation) restart(t *rapid.T) {
	before := s.table.Image()
	s.table = Restore(testLimits, before)
	if !reflect.DeepEqual(before, s.table.Image()) {
		t.Fatal("the restored table differs")
	}
}

func (s *simulation) check(t *rapid.T) {
	answers, records := 0, 0
	for element := s.table.order.Front(); element != nil; element = element.Next() {
		job := element.Value.(*record)
		if job.Finished {
			answers += job.size()
			records += stubBytes
			continue
		}
		records += job.size()
	}
	records += stubBytes * s.table.stubs.len()
	if answers != s.table.answerBytes || answers > testLimits.AnswerBytes {
		t.Fatalf("answers use %d bytes, answerBytes is %d", answers, s.table.answerBytes)
	}
	if records != s.table.recordBytes {
		t.Fatalf("records use %d bytes, recordBytes is %d", records, s.table.recordBytes)
	}
}

func TestTable_OneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"claim": s.claim, "claim2": s.claim, "finish": s.finish, "entry": s.changeEntry, "pass": s.advanceClock,
			"restart": s.restart, "": s.check,
		})
	})
}

func TestTable_RejectsClaimsWhenFullOfRecentJobs(t *testing.T) {
	table := NewTable(testLimits)
	live := func(string, string) bool { return true }
	claim := func(n int, nowMS int64) Status {
		return table.Claim(Request{Job: fmt.Sprint(n), Holder: "e", Incarnation: "1"}, uint64(n+1), nowMS, live).Status
	}
	n := 0
	for claim(n, 0) == Granted {
		n++
	}
	if got := claim(n, testLimits.MinRecordMS-1); got != Full {
		t.Fatalf("a claim that would evict a recent job got status %v", got)
	}
	if got := claim(n, testLimits.MinRecordMS); got != Granted {
		t.Fatalf("a claim that evicts an old job got status %v", got)
	}
	if got := claim(0, testLimits.MinRecordMS); got != Granted {
		t.Fatalf("a claim of the oldest job, which was evicted, got status %v", got)
	}
}

func TestTable_AnswerExpiresBeforeRecord(t *testing.T) {
	table := NewTable(testLimits)
	live := func(string, string) bool { return true }
	request := Request{Job: "j", Holder: "e", Incarnation: "1"}
	first := table.Claim(request, 1, 0, live)
	table.Finish(Finish{Job: "j", Epoch: first.Epoch, Body: []byte("answer")}, 0)
	for _, c := range []struct {
		nowMS  int64
		status Status
		body   string
	}{
		{testLimits.AnswerMS - 1, Finished, "answer"},
		{testLimits.AnswerMS, Finished, ""},
		{testLimits.RecordMS - 1, Finished, ""},
		{testLimits.RecordMS, Granted, ""},
	} {
		got := table.Claim(request, 2, c.nowMS, live)
		if got.Status != c.status || string(got.Body) != c.body {
			t.Fatalf("at %d ms: %v %q", c.nowMS, got.Status, got.Body)
		}
	}
}
