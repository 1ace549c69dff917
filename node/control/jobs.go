package control

import (
	"context"
	"maps"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/state"
	"flamingohall.example/node/faultrpc"
	"flamingohall.example/node/rpc"
)

// Limits of requests about stored jobs.
const (
	maxJobBodyBytes = 256 << 10
	maxJobSteps     = 1_400
	maxEnds         = 4_096
	// maxCheckedJobs is more than the jobs that can be open (jobstore.Limits.Bytes), since an entry checks all of its jobs at once.
	maxCheckedJobs = 100_000
)

// jobs serves rpc.Jobs.
type jobs struct {
	role *Role
}

// Store stores an accepted job.
func (j *jobs) Store(ctx context.Context, request *rpc.StoreRequest) (*rpc.StoreResponse, error) {
	if err := checkStore(request); err != nil {
		return nil, faultrpc.To(err)
	}
	step := jobstore.Store{
		Job: request.GetJobId(), Queue: request.GetQueue(), Holder: request.GetHolder(), Body: request.GetBody(),
		Steps: request.GetSteps(), Attempts: request.GetAttempts(),
	}
	answers, err := j.propose(ctx, state.Step{Store: &step})
	if err != nil {
		return nil, faultrpc.To(err)
	}
	j.role.metrics.Add("jobs_stored", 1)
	return &rpc.StoreResponse{
		Status: storeStatus(answers[0].Result), State: jobState(answers[0].State), Holder: answers[0].Holder,
		Epoch: answers[0].Epoch,
	}, nil
}

func checkStore(request *rpc.StoreRequest) error {
	if err := checkName("job id", request.GetJobId()); err != nil {
		return err
	}
	if err := checkName("holder", request.GetHolder()); err != nil {
		return err
	}
	if len(request.GetBody()) > maxJobBodyBytes || len(request.GetSteps()) > maxJobSteps {
		return fault.New(fault.TooLarge, "split the job", "store: job %q of %d bytes and %d steps is too large",
			request.GetJobId(), len(request.GetBody()), len(request.GetSteps()))
	}
	return nil
}

func checkName(what, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fault.New(fault.Invalid, "give 1 to 256 bytes", "the %s has %d bytes", what, len(name))
	}
	return nil
}

// Record stores the outcomes of runs.
func (j *jobs) Record(ctx context.Context, request *rpc.RecordRequest) (*rpc.RecordResponse, error) {
	if count := len(request.GetEnds()) + len(request.GetCrashes()); count == 0 || count > maxEnds {
		return nil, faultrpc.To(fault.New(fault.Invalid, "send 1 to 4096 ends", "record: the request has %d ends and crashes", count))
	}
	if err := j.recordCrashes(ctx, request.GetCrashes()); err != nil {
		return nil, faultrpc.To(err)
	}
	if len(request.GetEnds()) == 0 {
		return &rpc.RecordResponse{}, nil
	}
	var ends []jobstore.RunEnd
	for _, end := range request.GetEnds() {
		ends = append(ends, jobstore.RunEnd{Task: end.GetTask(), Run: end.GetRun(), IsFailure: end.GetFailed()})
	}
	answers, err := j.propose(ctx, state.Step{Record: ends})
	if err != nil {
		return nil, faultrpc.To(err)
	}
	response := &rpc.RecordResponse{}
	for _, answer := range answers {
		response.Ends = append(response.Ends, &rpc.RecordedEnd{
			Status: storeStatus(answer.Result), State: jobState(answer.State),
		})
	}
	return response, nil
}

// recordCrashes stores the runs under which workers ended.
func (j *jobs) recordCrashes(ctx context.Context, crashes []*rpc.RunCrash) error {
	if len(crashes) == 0 {
		return nil
	}
	var step state.Step
	for _, crash := range crashes {
		step.Crashes = append(step.Crashes, jobstore.Crash{Task: crash.GetTask(), Run: crash.GetRun()})
	}
	_, err := j.propose(ctx, step)
	return err
}

// Cancel cancels a stored job, or one that may still arrive.
func (j *jobs) Cancel(ctx context.Context, request *rpc.CancelStoredRequest) (*rpc.CancelStoredResponse, error) {
	if err := checkName("job id", request.GetJobId()); err != nil {
		return nil, faultrpc.To(err)
	}
	answers, err := j.propose(ctx, state.Step{Cancel: &state.Cancel{Job: request.GetJobId()}})
	if err != nil {
		return nil, faultrpc.To(err)
	}
	return &rpc.CancelStoredResponse{State: jobState(answers[0].State)}, nil
}

// propose commits a step and returns its answers, at least one.
func (j *jobs) propose(ctx context.Context, step state.Step) ([]jobstore.Answer, error) {
	if _, err := j.role.gate.check(); err != nil {
		return nil, err
	}
	_, result, err := j.role.proposer.propose(ctx, step)
	if err != nil {
		return nil, err
	}
	if len(result.Jobs) == 0 {
		return nil, fault.New(fault.Internal, "upgrade all control VMs to one version", "jobs: the step returned no result")
	}
	return result.Jobs, nil
}

// Find returns a job's state and, for a confirmed request, the progress of its tasks.
func (j *jobs) Find(ctx context.Context, request *rpc.FindRequest) (*rpc.FindResponse, error) {
	if _, err := j.role.gate.check(); err != nil {
		return nil, faultrpc.To(err)
	}
	if !request.GetConfirmed() {
		// Only a confirmed answer says that there is no such job: this VM may not have the newest jobs yet.
		if response := j.find(request); response.GetState() != rpc.JobState_JOB_STATE_UNSPECIFIED {
			return response, nil
		}
	}
	if err := (&operator{role: j.role}).confirm(ctx); err != nil {
		return nil, faultrpc.To(err)
	}
	return j.find(request), nil
}

// find looks up a job in the state that this VM has.
func (j *jobs) find(request *rpc.FindRequest) *rpc.FindResponse {
	response := &rpc.FindResponse{}
	j.role.machine.read(func(s *state.State) {
		job := s.Jobs.Find(request.GetJobId())
		if job == nil {
			return
		}
		response.State = jobState(job.State)
		if request.GetConfirmed() {
			response.Progress = taskProgress(job)
		}
	})
	return response
}

// keepTimeout limits the confirmation of a call of Keep. It is below holderTimeout, so that a call that waited can't replace the report
// of a later one by a time at which the holder counts as lost.
const keepTimeout = 1500 * time.Millisecond

// Keep renews a holder's job lease. Only the leader renews it, after a majority has confirmed its leadership in the same term: a
// deposed leader could renew jobs that its successor has reassigned.
func (j *jobs) Keep(ctx context.Context, request *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	status := j.role.group.Status()
	if !status.IsLeader {
		return j.forwardKeep(ctx, status, request)
	}
	if count := max(len(request.GetCheck()), len(request.GetMissing())); count > maxCheckedJobs {
		return nil, faultrpc.To(fault.New(fault.TooLarge, "check fewer jobs at once", "keep: %d jobs to check are too many", count))
	}
	arrived := time.Now()
	confirming, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	if _, err := j.role.group.Confirm(confirming); err != nil {
		return nil, faultrpc.To(err)
	}
	if after := j.role.group.Status(); !after.IsLeader || after.Term != status.Term {
		return nil, faultrpc.To(fault.New(fault.Unavailable, "send it again", "the control VMs have changed their leader"))
	}
	if !j.role.holders.renew(request.GetHolder(), status.Term, arrived, request.GetWaiting()) {
		return nil, faultrpc.To(fault.New(fault.Unavailable, "send it again", "the jobs of %q are being reassigned", request.GetHolder()))
	}
	response := &rpc.KeepResponse{LeaderAddress: status.LeaderAddress}
	j.role.machine.read(func(s *state.State) { fillKeep(response, request, s) })
	response.Waiting = j.role.holders.waiting(arrived)
	return response, nil
}

// forwardKeep forwards the call to the leader.
func (j *jobs) forwardKeep(ctx context.Context, status Status, request *rpc.KeepRequest) (*rpc.KeepResponse, error) {
	if status.LeaderAddress == "" {
		return nil, faultrpc.To(fault.New(fault.Unavailable, "send it again", "the control VMs have no leader"))
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	response, err := rpc.NewJobsProtobufClient("http://"+status.LeaderAddress, j.role.http).Keep(ctx, request)
	if err != nil {
		j.role.http.CloseIdleConnections()
	}
	return response, faultrpc.To(faultrpc.From(err))
}

// fillKeep adds the caller's jobs from the state to the response.
func fillKeep(response *rpc.KeepResponse, request *rpc.KeepRequest, s *state.State) {
	if s.Jobs.IsRetired(request.GetHolder()) {
		response.Retired = true
		return
	}
	response.Index = s.Index
	for _, job := range s.Jobs.HeldBy(request.GetHolder(), request.GetKnownIndex()) {
		// The caller usually has the jobs that it stored itself (epoch 1), so that their ids are enough.
		if job.Epoch > 1 || request.GetKnownIndex() == 0 {
			response.Assigned = append(response.Assigned, heldJob(job))
		} else {
			response.Stored = append(response.Stored, job.ID)
		}
	}
	for _, id := range request.GetMissing() {
		if job := s.Jobs.Find(id); job != nil && job.State == jobstore.Open && job.Holder == request.GetHolder() {
			response.Assigned = append(response.Assigned, heldJob(job))
		}
	}
	for _, id := range request.GetCheck() {
		if job := s.Jobs.Find(id); job == nil || job.State != jobstore.Open || job.Holder != request.GetHolder() {
			response.Over = append(response.Over, id)
		}
	}
}

func heldJob(job *jobstore.Job) *rpc.HeldJob {
	return &rpc.HeldJob{JobId: job.ID, Epoch: job.Epoch, Body: job.Body, Progress: taskProgress(job)}
}

// taskProgress lists the tasks with a recorded completion or failure.
func taskProgress(job *jobstore.Job) []*rpc.TaskProgress {
	var tasks []*rpc.TaskProgress
	for step, count := range job.Steps {
		for index := range count {
			progress := job.Progress(step, int(index))
			if progress.IsDone || len(progress.FailedRuns) > 0 || progress.Crashes > 0 {
				tasks = append(tasks, &rpc.TaskProgress{
					Step: uint32(step), Index: index, Done: progress.IsDone,
					Failures: uint32(len(progress.FailedRuns)), Crashes: uint32(progress.Crashes), FailedRuns: progress.FailedRuns,
				})
			}
		}
	}
	return tasks
}

func storeStatus(result jobstore.Result) rpc.StoreStatus {
	switch result {
	case jobstore.Stored:
		return rpc.StoreStatus_STORE_STATUS_STORED
	case jobstore.Known:
		return rpc.StoreStatus_STORE_STATUS_KNOWN
	case jobstore.Unknown:
		return rpc.StoreStatus_STORE_STATUS_UNKNOWN
	case jobstore.HolderRetired:
		return rpc.StoreStatus_STORE_STATUS_HOLDER_RETIRED
	case jobstore.Full:
		return rpc.StoreStatus_STORE_STATUS_FULL
	}
	return rpc.StoreStatus_STORE_STATUS_UNSPECIFIED
}

func jobState(state jobstore.State) rpc.JobState {
	switch state {
	case jobstore.Open:
		return rpc.JobState_JOB_STATE_OPEN
	case jobstore.Completed:
		return rpc.JobState_JOB_STATE_COMPLETED
	case jobstore.Failed:
		return rpc.JobState_JOB_STATE_FAILED
	case jobstore.Cancelled:
		return rpc.JobState_JOB_STATE_CANCELLED
	case jobstore.CancelledEarly:
		// To callers there is no such job until it arrives.
	}
	return rpc.JobState_JOB_STATE_UNSPECIFIED
}

// addWaiting adds a holder's counts to sum.
func addWaiting(sum, counts map[string]uint32) {
	for queue := range maps.Keys(counts) {
		sum[queue] += counts[queue]
	}
}
