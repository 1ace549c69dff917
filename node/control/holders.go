package control

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
)

// Timing of the holders watch.
const (
	holderWatchPeriod = 100 * time.Millisecond
	// holderTimeout is the silence after which a holder's jobs are reassigned. It exceeds the sum of two of
	// dispatch.Limits: the job lease, for which a holder starts runs without an answer from control, and Grant, for which
	// these runs continue after that.
	holderTimeout = 3300 * time.Millisecond
	// maxReportAge is how recent a holder's last call must be for its counts to be used and for it to receive the jobs of
	// another holder.
	maxReportAge = time.Second
	// maxHolderGap is the gap between two rounds from which the watch concludes that it was frozen, and restarts
	// the timeouts of all holders.
	maxHolderGap = 500 * time.Millisecond
)

// holders tracks, at the leader, when control last heard from each holder of jobs.
type holders struct {
	role *Role

	mutex sync.Mutex
	// term is the term to which the fields below belong. Silence counts from since at the earliest.
	term      uint64
	since     time.Time
	watchedAt time.Time
	reports   map[string]holderReport
	// retiring holds the holders with a retirement in progress.
	retiring map[string]bool
}

// holderReport is the content of a holder's last call.
type holderReport struct {
	at      time.Time
	waiting map[string]uint32
}

func newHolders(role *Role) *holders {
	return &holders{role: role, reports: map[string]holderReport{}, retiring: map[string]bool{}}
}

// renew records a call of a holder. It returns false if the holder's jobs are being reassigned.
func (o *holders) renew(holder string, term uint64, at time.Time, waiting map[string]uint32) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.enterTerm(term, at)
	if term < o.term || o.retiring[holder] {
		return false
	}
	if known := o.reports[holder]; at.Before(known.at) {
		// A call that waited longer must not make the holder look silent.
		return true
	}
	o.reports[holder] = holderReport{at: at, waiting: waiting}
	return true
}

// enterTerm discards the reports of an earlier term. The caller holds the mutex.
func (o *holders) enterTerm(term uint64, now time.Time) {
	if term <= o.term {
		return
	}
	o.term, o.since, o.watchedAt = term, now, now
	o.reports, o.retiring = map[string]holderReport{}, map[string]bool{}
}

// waiting returns the number of jobs that have not started, by queue. It sums the counts that holders reported; for a
// holder without a recent report it counts all open jobs.
func (o *holders) waiting(now time.Time) map[string]uint32 {
	sum := map[string]uint32{}
	silent := map[string]bool{}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for holder, report := range o.reports {
		if now.Sub(report.at) <= maxReportAge {
			addWaiting(sum, report.waiting)
		} else {
			silent[holder] = true
		}
	}
	isCounted := func(holder string) bool { _, found := o.reports[holder]; return found && !silent[holder] }
	o.role.machine.read(func(s *state.State) {
		for _, holder := range s.Jobs.Holders() {
			if isCounted(holder) {
				continue
			}
			for _, job := range s.Jobs.HeldBy(holder, 0) {
				sum[job.Queue]++
			}
		}
	})
	return sum
}

// run executes the watch until ctx ends.
func (o *holders) run(ctx context.Context) {
	every(ctx, holderWatchPeriod, func() { o.watch(ctx, time.Now()) })
}

// watch reassigns the jobs of silent holders while this VM is the leader.
func (o *holders) watch(ctx context.Context, now time.Time) {
	status := o.role.group.Status()
	if !status.IsLeader {
		return
	}
	var all []string
	o.role.machine.read(func(s *state.State) { all = s.Jobs.Holders() })
	for _, retire := range o.due(all, status.Term, now) {
		o.role.background.Go(func() { o.retire(ctx, retire) })
	}
}

// due returns the holders to retire. It returns none while there is no live holder to take over their jobs.
func (o *holders) due(all []string, term uint64, now time.Time) []jobstore.Retire {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.enterTerm(term, now)
	if now.Sub(o.watchedAt) > maxHolderGap {
		o.since = now
	}
	o.watchedAt = now
	var successors []string
	for holder, report := range o.reports {
		if now.Sub(report.at) <= maxReportAge {
			successors = append(successors, holder)
		}
		if now.Sub(report.at) > 2*holderTimeout {
			delete(o.reports, holder)
		}
	}
	var due []jobstore.Retire
	for _, holder := range all {
		last := o.since
		if at := o.reports[holder].at; at.After(last) {
			last = at
		}
		if now.Sub(last) > holderTimeout && len(successors) > 0 && !o.retiring[holder] {
			o.retiring[holder] = true
			due = append(due, jobstore.Retire{Holder: holder, Successors: successors})
		}
	}
	return due
}

// retire proposes a retirement. The holder is not renewed until the outcome is known: otherwise it could run jobs that
// have been reassigned without its knowledge.
func (o *holders) retire(ctx context.Context, retire jobstore.Retire) {
	_, result, err := o.role.proposer.propose(ctx, state.Step{Retire: &retire})
	if err != nil {
		events.HolderRetired.LogError(o.role.logger, err, "holder", retire.Holder)
	} else {
		events.HolderRetired.Log(o.role.logger, "holder", retire.Holder, "jobs", result.Moved, "successors", len(retire.Successors))
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err == nil {
		delete(o.retiring, retire.Holder)
		delete(o.reports, retire.Holder)
		return
	}
	// The outcome is unknown. Retry, and don't renew the holder meanwhile.
	time.AfterFunc(holderWatchPeriod, func() { o.retryRetire(ctx, retire) })
}

func (o *holders) retryRetire(ctx context.Context, retire jobstore.Retire) {
	if ctx.Err() != nil || !o.role.group.Status().IsLeader {
		return
	}
	o.retire(ctx, retire)
}
