package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"flamingohall.example/core/dispatch"
	"flamingohall.example/node/boottime"
	"flamingohall.example/node/duty"
	"flamingohall.example/node/events"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/workwire"
)

const (
	// renewPeriod is the time between two calls that renew the job lease. It is a tenth of the lease
	// (dispatch.Limits.JobLease), so that some calls may be lost.
	renewPeriod = 200 * time.Millisecond
	// minCheckAge is the least age of a stored job that is checked against control. Most jobs have ended by then.
	minCheckAge = 2 * time.Second
	// checkPeriod is the time between two checks.
	checkPeriod = time.Second
	// maxMissingPerCall limits the jobs that one call requests, since the answer carries their bodies.
	maxMissingPerCall = 64
)

// leaseRenewer renews this entry's job lease, and accepts the jobs that control assigns to it. Its fields are accessed only
// from the gateway's loop.
type leaseRenewer struct {
	gateway *Gateway
	// baseName and renames form the holder's name. The holder gets a new name each time its jobs have been assigned to
	// other entries.
	baseName string
	renames  int
	// knownIndex is the index of the last answer from control.
	knownIndex uint64
	// missing holds the jobs that this entry has stored, as control says, but has no answer about.
	missing map[string]bool
	// checkedAt is the time of the last check. isFullCheck is true if the last call checked all stored jobs.
	checkedAt   time.Duration
	isFullCheck bool
	// waiting is the number of stored jobs of all holders that have not begun, by queue.
	waiting map[string]uint32
}

func newLeaseRenewer(g *Gateway) *leaseRenewer {
	r := &leaseRenewer{gateway: g, baseName: g.options.ID + "/" + duty.Incarnation(), missing: map[string]bool{}, waiting: map[string]uint32{}}
	g.holder.Store(&r.baseName)
	return r
}

// run renews the lease periodically until ctx ends.
func (r *leaseRenewer) run(ctx context.Context) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		r.renew(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// renew makes one call. A failed call is not logged, but the loss of the lease is.
func (r *leaseRenewer) renew(ctx context.Context) {
	request, sentAt := r.request(ctx)
	if request == nil {
		return
	}
	var response *rpc.KeepResponse
	err := r.gateway.jobsClient.Once(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Keep(ctx, request)
		return err
	})
	if err != nil {
		r.gateway.counters.renewalsFailed.Add(1)
		return
	}
	r.gateway.jobsClient.SetLeader(response.GetLeaderAddress())
	r.gateway.put(func(now time.Duration) { r.apply(now, sentAt, request, response) })
}

// request returns the next request and the time from which the renewed lease counts. The request is nil if the gateway is
// stopping.
func (r *leaseRenewer) request(ctx context.Context) (*rpc.KeepRequest, time.Duration) {
	result := make(chan *rpc.KeepRequest, 1)
	sentAt := boottime.Now()
	accepted := r.gateway.put(func(now time.Duration) {
		request := &rpc.KeepRequest{
			Holder: *r.gateway.holder.Load(), KnownIndex: r.knownIndex, Waiting: r.gateway.core.WaitingStored(),
			Missing: r.nextMissing(),
		}
		r.isFullCheck = !r.gateway.core.HoldsJobLease(now)
		switch {
		case r.isFullCheck:
			r.checkedAt, request.Check = now, r.gateway.core.StoredBefore(now)
		case now >= r.checkedAt+checkPeriod:
			r.checkedAt, request.Check = now, r.gateway.core.StoredBefore(now-minCheckAge)
		}
		result <- request
	})
	if !accepted {
		return nil, 0
	}
	select {
	case request := <-result:
		return request, sentAt
	case <-ctx.Done():
		return nil, 0
	}
}

// nextMissing returns some of the jobs that are still missing. The answer to a Store may have arrived since.
func (r *leaseRenewer) nextMissing() []string {
	maps.DeleteFunc(r.missing, func(id string, _ bool) bool { return r.gateway.core.HasStored(id) })
	missing := slices.Sorted(maps.Keys(r.missing))
	return missing[:min(len(missing), maxMissingPerCall)]
}

// apply applies an answer from control. It runs in the loop.
func (r *leaseRenewer) apply(now, sentAt time.Duration, request *rpc.KeepRequest, response *rpc.KeepResponse) {
	if request.GetHolder() != *r.gateway.holder.Load() {
		return
	}
	if response.GetRetired() {
		r.rename(now, request.GetHolder())
		return
	}
	core := r.gateway.core
	if r.isFullCheck || core.HoldsJobLease(now) {
		core.JobLeaseRenewed(now, sentAt)
	}
	r.knownIndex, r.waiting = response.GetIndex(), response.GetWaiting()
	r.noteStored(request.GetMissing(), response.GetStored())
	for _, job := range response.GetAssigned() {
		submission, err := workwire.DecodeSubmission(job.GetBody())
		if err != nil {
			events.StoredJobUnreadable.LogError(r.gateway.options.Logger, err, "job", job.GetJobId())
			continue
		}
		if slices.Contains(request.GetMissing(), job.GetJobId()) && !core.HasStored(job.GetJobId()) {
			events.StoredJobMissing.Log(r.gateway.options.Logger, "job", job.GetJobId())
		}
		submission.Epoch = job.GetEpoch()
		submission.Progress = taskProgress(job.GetProgress())
		core.Accept(now, *submission)
	}
	for _, id := range response.GetOver() {
		core.Release(now, id)
	}
}

// noteStored updates the missing jobs from the answer to a request for some of them. Control alone decides which jobs this entry
// holds: a job whose Store got no answer may be stored nevertheless, also long after the call, and then nobody else runs it.
func (r *leaseRenewer) noteStored(requested, stored []string) {
	for _, id := range requested {
		delete(r.missing, id)
	}
	for _, id := range stored {
		if !r.gateway.core.HasStored(id) {
			r.missing[id] = true
		}
	}
}

// rename drops all stored jobs and gives the holder a new name, after control has retired the given one and assigned its
// jobs to other entries. It does nothing if the holder already has another name. It runs in the loop.
func (r *leaseRenewer) rename(now time.Duration, retired string) {
	if retired != *r.gateway.holder.Load() {
		return
	}
	r.gateway.core.ReleaseAll(now)
	r.renames++
	name := r.baseName + "#" + strconv.Itoa(r.renames)
	r.knownIndex = 0
	clear(r.missing)
	r.gateway.holder.Store(&name)
	events.HolderRenamed.Log(r.gateway.options.Logger, "holder", retired, "now", name)
}

// taskProgress converts the progress that control has recorded.
func taskProgress(recorded []*rpc.TaskProgress) []dispatch.TaskProgress {
	var progress []dispatch.TaskProgress
	for _, task := range recorded {
		progress = append(progress, dispatch.TaskProgress{
			Step: int(task.GetStep()), Index: int(task.GetIndex()), IsDone: task.GetDone(), Failures: int(task.GetFailures()),
			Crashes: int(task.GetCrashes()), FailedRuns: task.GetFailedRuns(),
		})
	}
	return progress
}
