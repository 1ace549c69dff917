package control

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
)

// Times of the holders' watch.
const (
	holderPeriod = 100 * time.Millisecond
	// holderPatience is the silence after which a holder's jobs go to others. It is longer than a holder runs them without
	// an answer (gateway.keepRight), and what it has ordered runs on after that (dispatch.Limits.Grant) together.
	holderPatience = 3300 * time.Millisecond
	// holderFresh is how recently a holder must have been heard to be given the jobs of another one.
	holderFresh = time.Second
	// maxHolderGap is the pause after which the watch takes itself for frozen and starts anew.
	maxHolderGap = 500 * time.Millisecond
)

// holders knows, at the leader, when each holder of jobs was heard last.
type holders struct {
	role *Role

	mutex sync.Mutex
	// term is the one in which the rest was heard, since when.
	term      uint64
	since     time.Time
	watchedAt time.Time
	heard     map[string]heardHolder
	// retiring are the holders whose retirement is under way.
	retiring map[string]bool
}

// heardHolder is what a holder's last call told.
type heardHolder struct {
	at      time.Time
	waiting map[string]uint32
}

func newHolders(role *Role) *holders {
	return &holders{role: role, heard: map[string]heardHolder{}, retiring: map[string]bool{}}
}

// renew takes in that a holder was heard. It reports false for one whose jobs are being given away.
func (o *holders) renew(holder string, term uint64, at time.Time, waiting map[string]uint32) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.enter(term, at)
	if o.retiring[holder] {
		return false
	}
	o.heard[holder] = heardHolder{at: at, waiting: waiting}
	return true
}

// enter forgets what was heard in another term. It runs under the mutex.
func (o *holders) enter(term uint64, now time.Time) {
	if term == o.term {
		return
	}
	o.term, o.since, o.watchedAt = term, now, now
	o.heard, o.retiring = map[string]heardHolder{}, map[string]bool{}
}

// waiting returns how many jobs have not begun, by queue, as the holders told it.
func (o *holders) waiting(now time.Time) map[string]uint32 {
	sum := map[string]uint32{}
	silent := map[string]bool{}
	o.mutex.Lock()
	for holder, one := range o.heard {
		if now.Sub(one.at) <= holderFresh {
			addWaiting(sum, one.waiting)
		} else {
			silent[holder] = true
		}
	}
	known := func(holder string) bool { _, found := o.heard[holder]; return found && !silent[holder] }
	o.role.machine.read(func(s *state.State) {
		for _, holder := range s.Jobs.Holders() {
			if known(holder) {
				continue
			}
			for _, job := range s.Jobs.HeldBy(holder, 0) {
				sum[job.Queue]++
			}
		}
	})
	o.mutex.Unlock()
	return sum
}

// run is the duty of the watch.
func (o *holders) run(ctx context.Context) {
	every(ctx, holderPeriod, func() { o.watch(ctx, time.Now()) })
}

// watch gives the jobs of silent holders to others while this VM leads.
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

// due returns which holders are to be retired. Without anybody to take their jobs there are none.
func (o *holders) due(all []string, term uint64, now time.Time) []jobstore.Retire {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.enter(term, now)
	if now.Sub(o.watchedAt) > maxHolderGap {
		o.since = now
	}
	o.watchedAt = now
	var fresh []string
	for holder, one := range o.heard {
		if now.Sub(one.at) <= holderFresh {
			fresh = append(fresh, holder)
		}
		if now.Sub(one.at) > 2*holderPatience {
			delete(o.heard, holder)
		}
	}
	var due []jobstore.Retire
	for _, holder := range all {
		last := o.since
		if at := o.heard[holder].at; at.After(last) {
			last = at
		}
		if now.Sub(last) > holderPatience && len(fresh) > 0 && !o.retiring[holder] {
			o.retiring[holder] = true
			due = append(due, jobstore.Retire{Holder: holder, Successors: fresh})
		}
	}
	return due
}

// retire puts a retirement into the log. Until its outcome is known the holder is not renewed: it would run jobs that are
// given away behind its back.
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
		delete(o.heard, retire.Holder)
		return
	}
	// Whether it takes effect is not known. It is tried again, still without renewing the holder.
	time.AfterFunc(holderPeriod, func() { o.retryRetire(ctx, retire) })
}

func (o *holders) retryRetire(ctx context.Context, retire jobstore.Retire) {
	if ctx.Err() != nil || !o.role.group.Status().IsLeader {
		return
	}
	o.retire(ctx, retire)
}
