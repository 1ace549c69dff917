package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/tools/client"
)

// sender sends submissions to the system under test.
type sender interface {
	// submit sends a submission and returns the complete answer. The entry is entryIndex modulo the number of entries.
	submit(ctx context.Context, entryIndex int, submission *client.Submission) (*client.Answer, error)
	// cancel cancels a submission through the entry selected by entryIndex.
	cancel(ctx context.Context, entryIndex int, owner, key string) error
}

// entrySender sends each submission to the entry that its index selects, in place of a load balancer.
type entrySender struct {
	entries *client.Entries
}

func (s entrySender) submit(ctx context.Context, entryIndex int, submission *client.Submission) (*client.Answer, error) {
	return s.entries.At(entryIndex).Submit(ctx, submission, true)
}

func (s entrySender) cancel(ctx context.Context, entryIndex int, owner, key string) error {
	_, err := s.entries.At(entryIndex).Cancel(ctx, owner, key)
	return err
}

// directSender sends each task straight to a target with a free slot. All tasks wait in one queue with exact knowledge of
// the free slots, which makes it a baseline that a dispatcher can hardly beat.
type directSender struct {
	http *http.Client
	// free holds the URL of a target once for each of its free slots.
	free chan string
}

// newDirectSender returns a sender to targets with the given number of slots each.
func newDirectSender(targets []string, slots int) *directSender {
	s := &directSender{
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
		free: make(chan string, slots*len(targets)),
	}
	for range slots {
		for _, target := range targets {
			s.free <- target
		}
	}
	return s
}

func (s *directSender) submit(ctx context.Context, _ int, submission *client.Submission) (*client.Answer, error) {
	answer := &client.Answer{
		Owner: submission.Owner, Entry: submission.Entry, Key: submission.Key,
		State: client.StateComplete, Tasks: make([]client.TaskAnswer, len(submission.Tasks)),
	}
	var group sync.WaitGroup
	for index := range submission.Tasks {
		group.Go(func() { answer.Tasks[index] = s.run(ctx, submission, index) })
	}
	group.Wait()
	if answer.Done() < len(answer.Tasks) {
		answer.State = client.StateFailed
	}
	return answer, nil
}

// run waits for a free slot and runs one task there.
func (s *directSender) run(ctx context.Context, submission *client.Submission, index int) client.TaskAnswer {
	outcome := client.TaskAnswer{Index: index, Attempts: 1, Outcome: "failed"}
	var target string
	queued := time.Now()
	select {
	case target = <-s.free:
	case <-ctx.Done():
		outcome.Outcome = "not_run"
		return outcome
	}
	defer func() { s.free <- target }()
	started := time.Now()
	result, err := s.call(ctx, target, submission, index)
	outcome.Target = target
	outcome.QueueUS = started.Sub(queued).Microseconds()
	outcome.RunUS = time.Since(started).Microseconds()
	if err != nil {
		outcome.Reason = err.Error()
		return outcome
	}
	outcome.Outcome = client.OutcomeDone
	outcome.Result = result
	return outcome
}

func (s *directSender) call(ctx context.Context, target string, submission *client.Submission, index int,
) (json.RawMessage, error) {
	url := target + "/v1/tasks/direct-" + strconv.Itoa(index)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(submission.Tasks[index].Payload))
	if err != nil {
		return nil, err
	}
	response, err := s.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, client.MaxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Internal, "", "HTTP status %d", response.StatusCode)
	}
	return text, nil
}

func (s *directSender) cancel(context.Context, int, string, string) error {
	return nil
}
