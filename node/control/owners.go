package control

import (
	"context"
	"sync"
	"time"

	"flamingohall.example/core/jobstore"
	"flamingohall.example/core/state"
	"flamingohall.example/node/events"
)

// Times of the owners' watch.
const (
	ownerPeriod = 100 * time.Millisecond
	// ownerPatience is the silence after which an owner's jobs go to others. It is longer than an owner runs them without
	// an answer (gateway.keepRight), and what it has ordered runs on after that (dispatch.Limits.Grant) together.
	ownerPatience = 3300 * time.Millisecond
	// ownerFresh is how recently an owner must have been heard to be given the jobs of another one.
	ownerFresh = time.Second
	// maxOwnerGap is the pause after which the watch takes itself for frozen and starts anew.
	maxOwnerGap = 500 * time.Millisecond
)

// owners knows, at the leader, when each owner of jobs was heard last.
type owners struct {
	role *Role

	mutex sync.Mutex
	// term is the one in which the rest was heard, since when.
	term      uint64
	since     time.Time
	watchedAt time.Time
	heard     map[string]heardOwner
	// retiring are the owners whose retirement is under way.
	retiring map[string]bool
}

// heardOwner is what an owner's last call told.
type heardOwner struct {
	at      time.Time
	waiting map[string]uint32
}

func newOwners(role *Role) *owners {
	return &owners{role: role, heard: map[string]heardOwner{}, retiring: map[string]bool{}}
}

// renew takes in that an owner was heard. It reports false for one whose jobs are being given away.
func (o *owners) renew(owner string, term uint64, at time.Time, waiting map[string]uint32) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.enter(term, at)
	if o.retiring[owner] {
		return false
	}
	o.heard[owner] = heardOwner{at: at, waiting: waiting}
	return true
}

// enter forgets what was heard in another term. It runs under the mutex.
func (o *owners) enter(term uint64, now time.Time) {
	if term == o.term {
		return
	}
	o.term, o.since, o.watchedAt = term, now, now
	o.heard, o.retiring = map[string]heardOwner{}, map[string]bool{}
}

// waiting returns how many jobs have not begun, by queue, as the owners told it.
func (o *owners) waiting(now time.Time) map[string]uint32 {
	sum := map[string]uint32{}
	silent := map[string]bool{}
	o.mutex.Lock()
	for owner, one := range o.heard {
		if now.Sub(one.at) <= ownerFresh {
			addWaiting(sum, one.waiting)
		} else {
			silent[owner] = true
		}
	}
	known := func(owner string) bool { _, found := o.heard[owner]; return found && !silent[owner] }
	o.role.machine.read(func(s *state.State) {
		for _, owner := range s.Jobs.Owners() {
			if known(owner) {
				continue
			}
			for _, job := range s.Jobs.OwnedBy(owner, 0) {
				sum[job.Queue]++
			}
		}
	})
	o.mutex.Unlock()
	return sum
}

// run is the duty of the watch.
func (o *owners) run(ctx context.Context) {
	every(ctx, ownerPeriod, func() { o.watch(ctx, time.Now()) })
}

// watch gives the jobs of silent owners to others while this VM leads.
func (o *owners) watch(ctx context.Context, now time.Time) {
	status := o.role.group.Status()
	if !status.IsLeader {
		return
	}
	var all []string
	o.role.machine.read(func(s *state.State) { all = s.Jobs.Owners() })
	for _, retire := range o.due(all, status.Term, now) {
		o.role.background.Go(func() { o.retire(ctx, retire) })
	}
}

// due returns which owners are to be retired. Without anybody to take their jobs there are none.
func (o *owners) due(all []string, term uint64, now time.Time) []jobstore.Retire {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.enter(term, now)
	if now.Sub(o.watchedAt) > maxOwnerGap {
		o.since = now
	}
	o.watchedAt = now
	var fresh []string
	for owner, one := range o.heard {
		if now.Sub(one.at) <= ownerFresh {
			fresh = append(fresh, owner)
		}
		if now.Sub(one.at) > 2*ownerPatience {
			delete(o.heard, owner)
		}
	}
	var due []jobstore.Retire
	for _, owner := range all {
		last := o.since
		if at := o.heard[owner].at; at.After(last) {
			last = at
		}
		if now.Sub(last) > ownerPatience && len(fresh) > 0 && !o.retiring[owner] {
			o.retiring[owner] = true
			due = append(due, jobstore.Retire{Owner: owner, Successors: fresh})
		}
	}
	return due
}

// retire puts a retirement into the log. Until its outcome is known the owner is not renewed: it would run jobs that are
// given away behind its back.
func (o *owners) retire(ctx context.Context, retire jobstore.Retire) {
	_, result, err := o.role.proposer.propose(ctx, state.Step{Retire: &retire})
	if err != nil {
		events.OwnerRetired.LogError(o.role.logger, err, "owner", retire.Owner)
	} else {
		events.OwnerRetired.Log(o.role.logger, "owner", retire.Owner, "jobs", result.Moved, "successors", len(retire.Successors))
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if err == nil {
		delete(o.retiring, retire.Owner)
		delete(o.heard, retire.Owner)
		return
	}
	// Whether it takes effect is not known. It is tried again, still without renewing the owner.
	time.AfterFunc(ownerPeriod, func() { o.retryRetire(ctx, retire) })
}

func (o *owners) retryRetire(ctx context.Context, retire jobstore.Retire) {
	if ctx.Err() != nil || !o.role.group.Status().IsLeader {
		return
	}
	o.retire(ctx, retire)
}
