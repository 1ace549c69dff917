package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"flamingohall.example/node/events"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/transport"
)

const (
	// shareTimeout bounds one call.
	shareTimeout = time.Second
	// shareDialTimeout bounds opening a connection.
	shareDialTimeout = 300 * time.Millisecond
)

// answerLink tells one process of another entry the answers of this entry and its jobs in progress. Only the goroutine
// that calls run uses it.
type answerLink struct {
	sharer *answerSharer
	node   *rpc.Node
	http   *http.Client
	client rpc.Answers
	// sent is the number of the last answer that the other entry has.
	sent uint64
	// hasReported is true if the last call reported jobs in progress, which the next one has to replace.
	hasReported bool
	// hasLearnt is true once the other entry has returned its jobs in progress, wasAsked once it has returned its answers.
	hasLearnt, wasAsked bool
	isUnreachable       bool
}

func newAnswerLink(sharer *answerSharer, node *rpc.Node) *answerLink {
	dialer := &net.Dialer{Timeout: shareDialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, Protocols: transport.CompactProtocols(), DisableCompression: true,
	}}
	return &answerLink{
		sharer: sharer, node: node, http: client, client: rpc.NewAnswersProtobufClient("http://"+node.GetAddress(), client),
	}
}

// run calls the other entry once in each period until ctx ends.
func (l *answerLink) run(ctx context.Context) {
	defer l.http.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(sharePeriod(int(l.sharer.entries.Load())))
		err := l.share(ctx)
		l.sharer.noteAsked(l.node)
		if err != nil {
			// A connection that lost its other end without a reset would fail every call.
			l.http.CloseIdleConnections()
		}
		if ctx.Err() == nil {
			l.logReachable(err)
		}
	}
}

func (l *answerLink) logReachable(err error) {
	logger := l.sharer.gateway.options.Logger
	switch {
	case err != nil && !l.isUnreachable:
		events.AnswersNotShared.LogError(logger, faultrpc.From(err), "entry", l.node.GetId(), "address", l.node.GetAddress())
	case err == nil && l.isUnreachable:
		events.AnswersShared.Log(logger, "entry", l.node.GetId(), "address", l.node.GetAddress())
	}
	l.isUnreachable = err != nil
}

// share sends the jobs in progress and the answers that the other entry doesn't have, if there are any. A new process asks
// for what the other entry remembers, unless enough others have returned their answers.
func (l *answerLink) share(ctx context.Context) error {
	s := l.sharer
	// A job that ends in between is among the answers, which count first.
	inProgress := s.gateway.inProgress(ctx)
	news, last := s.after(l.sent)
	wantsAll := !l.wasAsked && s.sources.Load() < enoughSources && s.isAsking.CompareAndSwap(false, true)
	if wantsAll {
		defer s.isAsking.Store(false)
	}
	if len(news) == 0 && len(inProgress) == 0 && !l.hasReported && !wantsAll && l.hasLearnt {
		l.sent = last
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request := &rpc.ShareAnswersRequest{
		WantsAll: wantsAll, InProgress: inProgress, Entry: s.gateway.options.ID, ValidMs: s.validMS(),
		WantsInProgress: !l.hasLearnt,
	}
	request.Completed, request.Failed = keysOf(news)
	response, err := l.client.Share(ctx, request)
	if err != nil {
		return err
	}
	if wantsAll {
		l.wasAsked = true
		if len(response.GetCompleted())+len(response.GetFailed()) > 0 {
			s.sources.Add(1)
		}
	}
	l.sent, l.hasReported, l.hasLearnt = last, len(inProgress) > 0, true
	s.gateway.counters.answersShared.Add(int64(len(news)))
	s.learn(response.GetCompleted(), response.GetFailed())
	s.learnInProgress(response.GetEntry(), response.GetInProgress(), response.GetValidMs())
	return nil
}
