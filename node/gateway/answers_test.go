package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/rpc"
)

// fakeEntry is another entry. It records what it is told, and fails while it is unavailable.
type fakeEntry struct {
	mutex       sync.Mutex
	unavailable bool
	keys        []uint64
	remembers   []uint64
	asked       int
	inProgress  []uint64
}

// Share implements rpc.Answers.
func (f *fakeEntry) Share(_ context.Context, request *rpc.ShareAnswersRequest) (*rpc.ShareAnswersResponse, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unavailable {
		return nil, twirp.NewError(twirp.Unavailable, "out of order")
	}
	f.keys = append(append(f.keys, request.GetCompleted()...), request.GetFailed()...)
	response := &rpc.ShareAnswersResponse{}
	if request.GetWantsInProgress() {
		response.Entry, response.InProgress, response.ValidMs = "other", f.inProgress, 5000
	}
	if request.GetWantsAll() {
		f.asked++
		response.Completed = f.remembers
	}
	return response, nil
}

func (f *fakeEntry) set(unavailable bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unavailable = unavailable
}

func (f *fakeEntry) timesAsked() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.asked
}

func (f *fakeEntry) told() []uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.keys)
}

// serveEntry serves a fake entry and lets the gateway share its answers with it.
func serveEntry(t *testing.T, g *Gateway, f *fakeEntry) {
	t.Helper()
	server := httptest.NewUnstartedServer(rpc.NewAnswersServer(f))
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	node := &rpc.Node{Id: "other", Role: rpc.Role_ROLE_ENTRY, Address: strings.TrimPrefix(server.URL, "http://")}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		newAnswerLink(g.answers, node).run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// until polls a condition and fails the test if it doesn't hold within 10 s.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within 10 s", what)
}

// TestAnswers_EntryThatWasUnreachableGetsWhatItMissed guards against an entry that runs jobs again which were answered while
// it could not be reached.
func TestAnswers_EntryThatWasUnreachableGetsWhatItMissed(t *testing.T) {
	g, other := startGateway(t), &fakeEntry{}
	serveEntry(t, g, other)
	g.answers.add([]dispatch.AnsweredJob{{Key: 1}})
	until(t, "the first answer arrives", func() bool { return len(other.told()) == 1 })
	other.set(true)
	g.answers.add([]dispatch.AnsweredJob{{Key: 2}, {Key: 3, HasFailed: true}})
	time.Sleep(3 * minSharePeriod)
	other.set(false)
	until(t, "the others arrive", func() bool { return len(other.told()) == 3 })
	time.Sleep(2 * minSharePeriod)
	if got := fmt.Sprint(other.told()); got != "[1 2 3]" {
		t.Errorf("the other entry was told %s, want each answer once", got)
	}
}

// TestAnswers_NewProcessLearnsWhatOthersRemember guards against a restarted entry that runs answered jobs again.
func TestAnswers_NewProcessLearnsWhatOthersRemember(t *testing.T) {
	g, other := startGateway(t), &fakeEntry{unavailable: true, remembers: []uint64{dispatch.JobKey("j")}}
	serveEntry(t, g, other)
	time.Sleep(2 * minSharePeriod)
	other.set(false)
	until(t, "the answers are learned", func() bool { return len(g.recentlyAnswered(t.Context())) == 1 })
	if answer := g.Submit(t.Context(), dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1}}}); answer.Result != dispatch.Completed {
		t.Errorf("answer %+v, want the one that the other entry remembers", answer)
	}
	time.Sleep(3 * minSharePeriod)
	if other.asked != 1 {
		t.Errorf("asked %d times for all answers, want once", other.asked)
	}
}

// TestAnswers_NewProcessAsksOnAfterAnEntryThatIsNewToo guards against an entry that runs answered jobs again because it was
// restarted together with the first entry that it asks.
func TestAnswers_NewProcessAsksOnAfterAnEntryThatIsNewToo(t *testing.T) {
	g, newToo, old := startGateway(t), &fakeEntry{}, &fakeEntry{remembers: []uint64{dispatch.JobKey("j")}}
	serveEntry(t, g, newToo)
	until(t, "the first entry is asked", func() bool { return newToo.timesAsked() == 1 })
	serveEntry(t, g, old)
	until(t, "the answers of the second one are learned", func() bool { return len(g.recentlyAnswered(t.Context())) == 1 })
	g.answers.add([]dispatch.AnsweredJob{{Key: 1}})
	until(t, "both get a further call", func() bool { return len(newToo.told()) == 1 && len(old.told()) == 1 })
	if newToo.timesAsked() != 1 || old.timesAsked() != 1 {
		t.Errorf("asked %d and %d times for all answers, want once each", newToo.timesAsked(), old.timesAsked())
	}
}

// TestAnswers_UnreachableEntryCostsBoundedMemory guards against answers that are kept for an entry that never returns.
func TestAnswers_UnreachableEntryCostsBoundedMemory(t *testing.T) {
	s := &answerSharer{}
	for n := range uint64(2 * maxUnshared) {
		s.add([]dispatch.AnsweredJob{{Key: n}})
	}
	if len(s.own) > maxUnshared {
		t.Errorf("%d answers are kept, want at most %d", len(s.own), maxUnshared)
	}
	if news, last := s.after(0); len(news) != maxShared || news[0].Key != maxUnshared || last != maxUnshared+maxShared {
		t.Errorf("%d answers up to number %d, want %d from the oldest kept one on", len(news), last, maxShared)
	}
}

// TestAnswers_ServesWhatItRemembers guards against a Share that fails, or is empty, for an entry that has just started.
func TestAnswers_ServesWhatItRemembers(t *testing.T) {
	g := startGateway(t)
	_, err := g.answers.Share(t.Context(), &rpc.ShareAnswersRequest{Completed: []uint64{7}, Failed: []uint64{8}, WantsAll: true})
	if err != nil {
		t.Fatal(err)
	}
	until(t, "both answers are remembered", func() bool { return len(g.recentlyAnswered(t.Context())) == 2 })
	if response, err := g.answers.Share(t.Context(), &rpc.ShareAnswersRequest{WantsAll: true}); err != nil ||
		len(response.GetCompleted()) != 1 || len(response.GetFailed()) != 1 {
		t.Errorf("response %v, error %v", response, err)
	}
}

// TestAnswers_CopyOfAJobInProgressElsewhereGetsItsAnswer guards against running a job at two entries at the same time.
func TestAnswers_CopyOfAJobInProgressElsewhereGetsItsAnswer(t *testing.T) {
	g := startGateway(t)
	key := dispatch.JobKey("j")
	if _, err := g.answers.Share(t.Context(), &rpc.ShareAnswersRequest{InProgress: []uint64{key}, Entry: "other", ValidMs: 5000}); err != nil {
		t.Fatal(err)
	}
	answered := make(chan dispatch.Answer, 1)
	go func() {
		answered <- g.Submit(t.Context(), dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1}}})
	}()
	until(t, "the copy is held", func() bool { return g.jobs.Load() == 1 })
	if _, err := g.answers.Share(t.Context(), &rpc.ShareAnswersRequest{Completed: []uint64{key}, Entry: "other", ValidMs: 5000}); err != nil {
		t.Fatal(err)
	}
	if answer := <-answered; answer.Result != dispatch.Completed || answer.Cause != dispatch.AnsweredBefore {
		t.Errorf("answer %+v, want that of the other entry; without workers a job that is not held is refused", answer)
	}
}

// TestAnswers_NewProcessKnowsWhatOthersHaveInProgressBeforeItStartsJobs guards against a restarted entry that starts a job which
// another one has in progress.
func TestAnswers_NewProcessKnowsWhatOthersHaveInProgressBeforeItStartsJobs(t *testing.T) {
	other := &fakeEntry{unavailable: true, inProgress: []uint64{dispatch.JobKey("j")}}
	control := &fakeControl{}
	control.set(false, &rpc.Node{Id: "unasked", Role: rpc.Role_ROLE_ENTRY, Address: "other", Incarnation: "1"})
	g := followingGateway(t, control)
	until(t, "the registry is known", func() bool { return g.follower.View() != nil })
	serveEntry(t, g, other)
	other.set(false)
	until(t, "a job of the other entry is held", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), minSharePeriod)
		defer cancel()
		return g.Submit(ctx, dispatch.Submission{ID: "j", Steps: []dispatch.Step{{Count: 1}}}).Cause == dispatch.CallerGone
	})
	s := &answerSharer{gateway: g}
	if s.hasAskedAll() {
		t.Error("all entries count as asked, want one that was not")
	}
	s.noteAsked(&rpc.Node{Address: "other", Incarnation: "1"})
	if !s.hasAskedAll() {
		t.Error("an entry that was asked counts as not asked")
	}
}
