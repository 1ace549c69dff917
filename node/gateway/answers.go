package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/events"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/transport"
)

const (
	// minSharePeriod is the least time between two calls to another entry. Callers repeat a request after more than a second.
	minSharePeriod = 250 * time.Millisecond
	// sharePeriodPerEntry bounds the calls of one entry to all others to 40 a second, however many there are.
	sharePeriodPerEntry = 25 * time.Millisecond
	// shareTimeout bounds one call.
	shareTimeout = time.Second
	// shareDialTimeout bounds opening a connection.
	shareDialTimeout = 300 * time.Millisecond
	// maxShared limits the answers in one call, maxUnshared those that are kept for entries that can't be reached.
	maxShared   = 10_000
	maxUnshared = 50_000
	// enoughTeachers is the number of entries whose remembered answers a new process asks for. One alone may be as new.
	enoughTeachers = 3
)

// sharePeriod returns the time between two calls to another entry if there are that many entries.
func sharePeriod(entries int) time.Duration {
	return max(minSharePeriod, time.Duration(entries)*sharePeriodPerEntry)
}

// answerSharer tells the other entries which jobs this entry has answered. Callers that repeat a request may reach any
// entry. It serves rpc.Answers.
type answerSharer struct {
	gateway *Gateway
	// isAsking is true while a call waits for the answers that another entry remembers; teachers counts the entries that have
	// returned some.
	isAsking atomic.Bool
	teachers atomic.Int64
	entries  atomic.Int64

	mutex sync.Mutex
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
			wanted[node.GetAddress()+" "+node.GetIncarnation()] = node
		}
	}
	for process, cancel := range running {
		if wanted[process] == nil {
			cancel()
			delete(running, process)
		}
	}
	for process, node := range wanted {
		if running[process] == nil {
			loopCtx, cancel := context.WithCancel(ctx)
			running[process] = cancel
			loops.Go(func() { s.shareWith(loopCtx, node) })
		}
	}
}

// shareWith tells one entry the answers of this one, from now on, until ctx ends.
func (s *answerSharer) shareWith(ctx context.Context, node *rpc.Node) {
	dialer := &net.Dialer{Timeout: shareDialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, Protocols: transport.CompactProtocols(), DisableCompression: true,
	}}
	defer client.CloseIdleConnections()
	answers := rpc.NewAnswersProtobufClient("http://"+node.GetAddress(), client)
	var sent uint64
	isReachable, wasAsked := true, false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(sharePeriod(int(s.entries.Load())))
		next, err := s.share(ctx, answers, sent, &wasAsked)
		switch {
		case err == nil:
			sent = next
			if !isReachable {
				events.AnswersShared.Log(s.gateway.options.Logger, "entry", node.GetId(), "address", node.GetAddress())
			}
			isReachable = true
		case ctx.Err() == nil:
			// A connection that lost its other end without a reset would fail every call.
			client.CloseIdleConnections()
			if isReachable {
				events.AnswersNotShared.LogError(s.gateway.options.Logger, faultrpc.From(err), "entry", node.GetId(), "address", node.GetAddress())
			}
			isReachable = false
		}
	}
}

// share sends the answers after the number sent, if there are any, and returns the number of the last one. It asks for the
// answers that the other entry remembers unless it was asked or enough others have returned theirs.
func (s *answerSharer) share(ctx context.Context, client rpc.Answers, sent uint64, wasAsked *bool) (uint64, error) {
	news, last := s.after(sent)
	wantsAll := !*wasAsked && s.teachers.Load() < enoughTeachers && s.isAsking.CompareAndSwap(false, true)
	if wantsAll {
		defer s.isAsking.Store(false)
	}
	if len(news) == 0 && !wantsAll {
		return last, nil
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request := &rpc.ShareAnswersRequest{WantsAll: wantsAll}
	request.Completed, request.Failed = keysOf(news)
	response, err := client.Share(ctx, request)
	if err != nil {
		return sent, err
	}
	if wantsAll {
		*wasAsked = true
		if len(response.GetCompleted())+len(response.GetFailed()) > 0 {
			s.teachers.Add(1)
		}
	}
	s.gateway.counters.answersShared.Add(int64(len(news)))
	s.learn(response.GetCompleted(), response.GetFailed())
	return last, nil
}

// Share implements rpc.Answers.
func (s *answerSharer) Share(ctx context.Context, request *rpc.ShareAnswersRequest) (*rpc.ShareAnswersResponse, error) {
	s.learn(request.GetCompleted(), request.GetFailed())
	response := &rpc.ShareAnswersResponse{}
	if request.GetWantsAll() {
		response.Completed, response.Failed = keysOf(s.gateway.recentlyAnswered(ctx))
	}
	return response, nil
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
