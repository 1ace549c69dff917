package gateway

import (
	"context"
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
	// keepPeriod is the time between two calls that renew the right to run stored jobs. A tenth of the right
	// (dispatch.Limits.Right), so that some may be lost.
	keepPeriod = 200 * time.Millisecond
	// checkAge is how old a stored job must be to be checked against control: most have ended by then.
	checkAge = 2 * time.Second
	// checkPeriod is the time between two such checks.
	checkPeriod = time.Second
)

// keeper renews this entry's right to run its stored jobs, and takes over what control gives it. Its fields belong to
// the gateway's loop.
type keeper struct {
	gateway *Gateway
	// base and names make the holder's name: a new one after each loss of all jobs.
	base  string
	names int
	// known is the index of the last answer.
	known uint64
	// checkedAt is when jobs were last checked.
	checkedAt time.Duration
	// waiting is how many stored jobs have not begun, by queue, at all holders together.
	waiting map[string]uint32
}

func newKeeper(g *Gateway) *keeper {
	k := &keeper{gateway: g, base: g.options.ID + "/" + duty.Incarnation(), waiting: map[string]uint32{}}
	g.holder.Store(&k.base)
	return k
}

// run is the keeper's duty.
func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(keepPeriod)
	defer ticker.Stop()
	for {
		k.keep(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// keep makes one call. A failure needs no line of its own: the loss of the right has one.
func (k *keeper) keep(ctx context.Context) {
	request, sentAt := k.request(ctx)
	if request == nil {
		return
	}
	var response *rpc.KeepResponse
	err := k.gateway.stored.Once(ctx, func(ctx context.Context, jobs rpc.Jobs) (err error) {
		response, err = jobs.Keep(ctx, request)
		return err
	})
	if err != nil {
		k.gateway.counters.keepsFailed.Add(1)
		return
	}
	k.gateway.stored.SetLeader(response.GetLeaderAddress())
	k.gateway.put(func(now time.Duration) { k.take(now, sentAt, request.GetHolder(), response) })
}

// request returns the next call and the time from which its answer counts.
func (k *keeper) request(ctx context.Context) (*rpc.KeepRequest, time.Duration) {
	made := make(chan *rpc.KeepRequest, 1)
	sentAt := boottime.Now()
	isIn := k.gateway.put(func(now time.Duration) {
		request := &rpc.KeepRequest{
			Holder: *k.gateway.holder.Load(), KnownIndex: k.known, Waiting: k.gateway.core.WaitingStored(),
		}
		if now >= k.checkedAt+checkPeriod {
			k.checkedAt, request.Check = now, k.gateway.core.StoredBefore(now-checkAge)
		}
		made <- request
	})
	if !isIn {
		return nil, 0
	}
	select {
	case request := <-made:
		return request, sentAt
	case <-ctx.Done():
		return nil, 0
	}
}

// take takes an answer in.
func (k *keeper) take(now, sentAt time.Duration, holder string, response *rpc.KeepResponse) {
	if holder != *k.gateway.holder.Load() {
		return
	}
	if response.GetRetired() {
		k.rename(now, holder)
		return
	}
	core := k.gateway.core
	core.JobLeaseRenewed(now, sentAt)
	k.known, k.waiting = response.GetIndex(), response.GetWaiting()
	for _, owned := range response.GetAssigned() {
		submission, err := workwire.DecodeSubmission(owned.GetBody())
		if err != nil {
			events.StoredJobUnreadable.LogError(k.gateway.options.Logger, err, "job", owned.GetJobId())
			continue
		}
		submission.Epoch = owned.GetEpoch()
		submission.Progress = taskProgress(owned.GetProgress())
		core.Accept(now, *submission)
	}
	for _, id := range response.GetOver() {
		core.Release(now, id)
	}
}

// rename gives the holder a new name after its jobs went to others. It runs in the loop.
func (k *keeper) rename(now time.Duration, lost string) {
	if lost != *k.gateway.holder.Load() {
		return
	}
	k.gateway.core.ReleaseAll(now)
	k.names++
	name := k.base + "#" + strconv.Itoa(k.names)
	k.known = 0
	k.gateway.holder.Store(&name)
	events.HolderRenamed.Log(k.gateway.options.Logger, "holder", lost, "now", name)
}

// taskProgress translates what control has recorded.
func taskProgress(listed []*rpc.TaskProgress) []dispatch.TaskProgress {
	var progress []dispatch.TaskProgress
	for _, one := range listed {
		progress = append(progress, dispatch.TaskProgress{
			Step: int(one.GetStep()), Index: int(one.GetIndex()), IsDone: one.GetDone(), Failures: int(one.GetFailures()),
		})
	}
	return progress
}
