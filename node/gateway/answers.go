package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/rpc"
)

const (
	// minSharePeriod is the least time between two calls to another entry. Callers repeat a request after more than a second.
	minSharePeriod = 250 * time.Millisecond
	// sharePeriodPerEntry bounds the calls of one entry to all others to 40 a second, however many there are.
	sharePeriodPerEntry = 25 * time.Millisecond
	// validPeriods is for how many periods a report of jobs in progress counts, beside minSharePeriod for the call: one may fail.
	validPeriods = 2
	// maxValid limits how long a report counts at the entry that receives it.
	maxValid = 5 * time.Second
	// maxShared limits the answers in one call, maxUnshared those that are kept for entries that can't be reached.
	maxShared   = 10_000
	maxUnshared = 50_000
	// enoughSources is the number of entries whose remembered answers a new process asks for. One alone may be as new.
	enoughSources = 3
)

// sharePeriod returns the time between two calls to another entry if there are that many entries.
func sharePeriod(entries int) time.Duration {
	return max(minSharePeriod, time.Duration(entries)*sharePeriodPerEntry)
}

// answerSharer tells the other entries which jobs this entry has answered, and which are in progress here. Callers that repeat
// a request may reach any entry. It serves rpc.Answers.
type answerSharer struct {
	gateway *Gateway
	entries atomic.Int64
	// isAsking is true while a call waits for the answers that another entry remembers. sources counts the entries that have
	// returned some.
	isAsking atomic.Bool
	sources  atomic.Int64

	mutex sync.Mutex
	// asked holds the processes of other entries that were asked for their jobs in progress, whether they answered or not.
	asked map[string]bool
	// own holds the latest answers of this entry, oldest first. The first one has the number dropped + 1.
	own     []ownAnswer
	dropped uint64
}

// ownAnswer is an answer of this entry, given at a time.
type ownAnswer struct {
	dispatch.AnsweredJob
	at time.Time
}

// add queues answers to be shared. Answers that other entries would not remember any longer are dropped.
func (s *answerSharer) add(answers []dispatch.AnsweredJob) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, answer := range answers {
		s.own = append(s.own, ownAnswer{answer, now})
	}
	surplus := max(0, len(s.own)-maxUnshared)
	for surplus < len(s.own) && now.Sub(s.own[surplus].at) > dispatch.AnsweredRetention {
		surplus++
	}
	s.own = s.own[surplus:]
	s.dropped += uint64(surplus)
}

// after returns the answers that follow the one with the number sent, and the number of the last of them.
func (s *answerSharer) after(sent uint64) ([]dispatch.AnsweredJob, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := max(sent, s.dropped)
	own := s.own[first-s.dropped:]
	var answers []dispatch.AnsweredJob
	for _, answer := range own[:min(len(own), maxShared)] {
		answers = append(answers, answer.AnsweredJob)
	}
	return answers, first + uint64(len(answers))
}

// run keeps one loop for each other entry in control's registry, until ctx ends.
func (s *answerSharer) run(ctx context.Context) {
	var loops sync.WaitGroup
	defer loops.Wait()
	running := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := s.gateway.follower.Changed()
		if view := s.gateway.follower.View(); view != nil {
			s.entries.Store(int64(countRole(view.Nodes, rpc.Role_ROLE_ENTRY)))
			s.update(ctx, &loops, running, view.Nodes)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// update starts the loops for new processes of other entries, and ends those of processes that are gone.
func (s *answerSharer) update(ctx context.Context, loops *sync.WaitGroup, running map[string]context.CancelFunc, nodes map[string]*rpc.Node) {
	wanted := map[string]*rpc.Node{}
	for id, node := range nodes {
		if node.GetRole() == rpc.Role_ROLE_ENTRY && id != s.gateway.options.ID {
			wanted[processOf(node)] = node
		}
	}
	for process, cancel := range running {
		if wanted[process] == nil {
			cancel()
			delete(running, process)
			s.mutex.Lock()
			delete(s.asked, process)
			s.mutex.Unlock()
		}
	}
	for process, node := range wanted {
		if running[process] == nil {
			loopCtx, cancel := context.WithCancel(ctx)
			running[process] = cancel
			loops.Go(func() { newAnswerLink(s, node).run(loopCtx) })
		}
	}
}

// Share implements rpc.Answers.
func (s *answerSharer) Share(ctx context.Context, request *rpc.ShareAnswersRequest) (*rpc.ShareAnswersResponse, error) {
	s.learn(request.GetCompleted(), request.GetFailed())
	s.learnInProgress(request.GetEntry(), request.GetInProgress(), request.GetValidMs())
	response := &rpc.ShareAnswersResponse{}
	if request.GetWantsInProgress() {
		response.InProgress, response.Entry, response.ValidMs = s.gateway.inProgress(ctx), s.gateway.options.ID, s.validMS()
	}
	if request.GetWantsAll() {
		response.Completed, response.Failed = keysOf(s.gateway.recentlyAnswered(ctx))
	}
	return response, nil
}

// validMS returns for how long a report of jobs in progress counts, in milliseconds.
func (s *answerSharer) validMS() uint32 {
	return uint32((validPeriods*sharePeriod(int(s.entries.Load())) + minSharePeriod).Milliseconds())
}

// learnInProgress passes the jobs in progress at another entry to the dispatcher. Entries of earlier versions report none.
func (s *answerSharer) learnInProgress(entry string, keys []uint64, validMS uint32) {
	if entry == "" {
		return
	}
	validFor := min(time.Duration(validMS)*time.Millisecond, maxValid)
	s.gateway.put(func(now time.Duration) { s.gateway.core.InProgressElsewhere(now, entry, keys, validFor) })
}

func processOf(node *rpc.Node) string {
	return node.GetAddress() + " " + node.GetIncarnation()
}

func (s *answerSharer) noteAsked(node *rpc.Node) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.asked == nil {
		s.asked = map[string]bool{}
	}
	s.asked[processOf(node)] = true
}

// hasAskedAll reports whether every other entry in control's registry was asked for its jobs in progress.
func (s *answerSharer) hasAskedAll() bool {
	view := s.gateway.follower.View()
	if view == nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, node := range view.Nodes {
		if node.GetRole() == rpc.Role_ROLE_ENTRY && id != s.gateway.options.ID && !s.asked[processOf(node)] {
			return false
		}
	}
	return true
}

// learn passes answers of other entries to the dispatcher.
func (s *answerSharer) learn(completed, failed []uint64) {
	if len(completed)+len(failed) == 0 {
		return
	}
	answers := make([]dispatch.AnsweredJob, 0, len(completed)+len(failed))
	for _, key := range completed {
		answers = append(answers, dispatch.AnsweredJob{Key: key})
	}
	for _, key := range failed {
		answers = append(answers, dispatch.AnsweredJob{Key: key, HasFailed: true})
	}
	s.gateway.counters.answersLearned.Add(int64(len(answers)))
	s.gateway.put(func(now time.Duration) { s.gateway.core.AnsweredElsewhere(now, answers) })
}

func keysOf(answers []dispatch.AnsweredJob) (completed, failed []uint64) {
	for _, answer := range answers {
		if answer.HasFailed {
			failed = append(failed, answer.Key)
		} else {
			completed = append(completed, answer.Key)
		}
	}
	return completed, failed
}

// inProgress returns the keys of the jobs that may be running because of this entry.
func (g *Gateway) inProgress(ctx context.Context) []uint64 {
	result := make(chan []uint64, 1)
	if !g.put(func(now time.Duration) { result <- g.core.InProgress(now) }) {
		return nil
	}
	select {
	case keys := <-result:
		return keys
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return nil
}

// recentlyAnswered returns all answers that this entry remembers.
func (g *Gateway) recentlyAnswered(ctx context.Context) []dispatch.AnsweredJob {
	result := make(chan []dispatch.AnsweredJob, 1)
	if !g.put(func(now time.Duration) { result <- g.core.RecentlyAnswered(now) }) {
		return nil
	}
	select {
	case answers := <-result:
		return answers
	case <-ctx.Done():
	case <-g.context.Done():
	}
	return nil
}
