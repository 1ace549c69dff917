package sidecar

import (
	"context"
	"time"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/target"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

const (
	// maxRequestBytes bounds the body of one request.
	maxRequestBytes = 65 << 20
	// maxHold bounds how long a request waits for its answer.
	maxHold = time.Minute
)

// service implements the twirp service Sidecar.
type service struct {
	sidecar *Sidecar
}

// Run starts tasks and waits for their outcomes.
func (s service) Run(ctx context.Context, in *rpc.RunRequest) (*rpc.RunResponse, error) {
	event, err := s.readRun(in)
	if err != nil {
		return nil, faultrpc.To(err)
	}
	hold := min(time.Duration(in.GetHoldMs())*time.Millisecond, maxHold)
	answer, err := s.sidecar.await(ctx, event, event.Waiter, hold)
	if err != nil {
		return nil, faultrpc.To(err)
	}
	s.sidecar.countRun(answer)
	return &rpc.RunResponse{
		Outcomes: writeOutcomes(answer.Outcomes), Load: writeLoad(answer.Load), Incarnation: s.sidecar.incarnation,
	}, nil
}

// Seal fences a job.
func (s service) Seal(ctx context.Context, in *rpc.SealRequest) (*rpc.SealResponse, error) {
	job, err := readJob(in.GetJobId())
	if err != nil {
		return nil, faultrpc.To(err)
	}
	s.sidecar.metrics.Add("wasted_seal", 1)
	event := target.Seal{
		Waiter: s.sidecar.waiters.Add(1), Job: job, Incarnation: in.GetIncarnation(), Epoch: in.GetEpoch(),
		Attempt: in.GetAttempt(), Indexes: in.GetIndexes(), All: in.GetAll(), FirstEpoch: in.GetFirstEpoch(),
	}
	answer, err := s.sidecar.await(ctx, event, event.Waiter, maxHold)
	if err != nil {
		return nil, faultrpc.To(err)
	}
	return &rpc.SealResponse{
		Outcomes: writeOutcomes(answer.Outcomes), Incarnation: s.sidecar.incarnation, Load: writeLoad(answer.Load),
		Lost: answer.Lost,
	}, nil
}

// Cancel cancels tasks of many jobs.
func (s service) Cancel(ctx context.Context, in *rpc.CancelRequest) (*rpc.CancelResponse, error) {
	event := target.Cancel{Waiter: s.sidecar.waiters.Add(1)}
	for _, cancelled := range in.GetJobs() {
		job, err := readJob(cancelled.GetJobId())
		if err != nil {
			return nil, faultrpc.To(err)
		}
		event.Jobs = append(event.Jobs, target.CancelledJob{
			Job: job, Indexes: cancelled.GetIndexes(), All: cancelled.GetAll(),
		})
	}
	s.sidecar.metrics.Add("wasted_cancel", 1)
	answer, err := s.sidecar.await(ctx, event, event.Waiter, maxHold)
	if err != nil {
		return nil, faultrpc.To(err)
	}
	return &rpc.CancelResponse{
		Freed: uint32(answer.Freed), Stopping: uint32(answer.Stopping), Load: writeLoad(answer.Load),
	}, nil
}

// Status returns the known outcomes of tasks without changing anything.
func (s service) Status(ctx context.Context, in *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	job, err := readJob(in.GetJobId())
	if err != nil {
		return nil, faultrpc.To(err)
	}
	s.sidecar.metrics.Add("wasted_status", 1)
	event := target.Status{Waiter: s.sidecar.waiters.Add(1), Job: job, Indexes: in.GetIndexes()}
	answer, err := s.sidecar.await(ctx, event, event.Waiter, maxHold)
	if err != nil {
		return nil, faultrpc.To(err)
	}
	return &rpc.StatusResponse{
		Outcomes: writeOutcomes(answer.Outcomes), Load: writeLoad(answer.Load), Incarnation: s.sidecar.incarnation,
	}, nil
}

// await sends an event to the loop and returns its answer. When hold has passed or the caller has disconnected, it ends
// the hold, so that a Run is answered with the outcomes known by then. The tasks continue.
func (s *Sidecar) await(ctx context.Context, event target.Event, waiter uint64, hold time.Duration) (target.Answer, error) {
	reply := make(chan target.Answer, 1)
	if !s.post(ctx, request{event: event, waiter: waiter, reply: reply}) {
		return target.Answer{}, stoppedError(s.file.Sidecar.Target)
	}
	timer := time.NewTimer(max(hold, 0))
	defer timer.Stop()
	select {
	case answer := <-reply:
		return answer, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopped:
	}
	s.post(context.WithoutCancel(ctx), request{event: target.HoldOver{Waiter: waiter}})
	select {
	case answer := <-reply:
		return answer, nil
	case <-s.stopped:
		return target.Answer{}, lostError(s.file.Sidecar.Target)
	}
}

func stoppedError(id string) error {
	return fault.New(fault.Unavailable, "use another target", "sidecar %s has stopped", id)
}

func lostError(id string) error {
	return fault.New(fault.Unknown, "ask again for the outcome", "sidecar %s stopped before it answered", id)
}

// countRun counts repeated and refused Run requests.
func (s *Sidecar) countRun(answer target.Answer) {
	if answer.Repeated {
		s.metrics.Add("wasted_duplicate", 1)
	}
	for _, outcome := range answer.Outcomes {
		if outcome.Outcome == target.NotRun {
			s.metrics.Add("wasted_refusal", 1)
			return
		}
	}
}

func (s service) readRun(in *rpc.RunRequest) (target.Run, error) {
	job, err := readJob(in.GetJobId())
	if err != nil {
		return target.Run{}, err
	}
	if tasks := len(in.GetTasks()); tasks == 0 || tasks > catalogue.MaxTasksPerJob {
		return target.Run{}, fault.New(fault.Invalid, "send 1 to 1,400 tasks", "run: %d tasks", tasks)
	}
	if !in.GetRepeatable() && (in.GetEpoch() == 0 || in.GetIncarnation() == "") {
		return target.Run{}, fault.New(fault.Invalid, "claim the job and name the incarnation",
			"run: never-repeated work without epoch or incarnation")
	}
	event := target.Run{
		Waiter: s.sidecar.waiters.Add(1), Job: job, Incarnation: in.GetIncarnation(), Epoch: in.GetEpoch(),
		FirstEpoch: in.GetFirstEpoch(), Repeatable: in.GetRepeatable(), Entry: in.GetCatalogueEntry(), Slots: int(in.GetSlots()),
		Deadline: time.Since(s.sidecar.startedAt) + time.Duration(in.GetDeadlineMs())*time.Millisecond,
		Tasks:    make([]target.Spec, 0, len(in.GetTasks())),
	}
	for _, task := range in.GetTasks() {
		if task.GetAttempt() == 0 {
			return target.Run{}, fault.New(fault.Invalid, "count attempts from 1", "run: task %d has no attempt",
				task.GetIndex())
		}
		event.Tasks = append(event.Tasks, target.Spec{
			Index: task.GetIndex(), Attempt: task.GetAttempt(), Payload: task.GetPayload(),
		})
	}
	return event, nil
}

func readJob(text string) (target.JobID, error) {
	job, ok := target.ParseJobID(text)
	if !ok {
		return job, fault.New(fault.Malformed, "send 32 hexadecimal digits", "job id %q", text)
	}
	return job, nil
}

func writeOutcomes(outcomes []target.TaskOutcome) []*rpc.TaskOutcome {
	written := make([]*rpc.TaskOutcome, 0, len(outcomes))
	for _, outcome := range outcomes {
		written = append(written, &rpc.TaskOutcome{
			Index: outcome.Index, Attempt: outcome.Attempt,
			Outcome: rpc.Outcome(outcome.Outcome), Cause: rpc.Cause(outcome.Cause),
			Reason: outcome.Reason, Result: outcome.Result,
			QueueUs: outcome.QueueTime.Microseconds(), RunUs: outcome.RunTime.Microseconds(),
		})
	}
	return written
}

func writeLoad(load target.Load) *rpc.Load {
	return &rpc.Load{
		Slots: uint32(load.Slots), Busy: uint32(load.Busy), Queued: uint32(load.Queued),
		Leaving: load.Leaving, Sequence: load.Sequence,
	}
}
