package control

import (
	"maps"
	"sync"
	"time"

	"flamingohall.example/node/rpc"
)

// ageUnit is the unit of ages in digests. Ages are rounded up, so that a digest never makes a node look fresher.
const ageUnit = 100 * time.Millisecond

// observation is the time of a message from a process, and its catalogue revision in force then.
type observation struct {
	at       time.Time
	revision uint64
	activity activity
}

// activity is whether tasks run at the target of a drained sidecar.
type activity uint8

const (
	activityUnknown activity = iota
	activityBusy
	activityIdle
)

func activityOf(busy *bool) activity {
	switch {
	case busy == nil:
		return activityUnknown
	case *busy:
		return activityBusy
	}
	return activityIdle
}

// presence is the soft state of one control VM: the last observation of each process, made by itself or received in
// digests. Processes are identified by their registry number.
type presence struct {
	mutex sync.Mutex
	seen  map[uint64]observation
	// unreported holds the processes that this VM has observed since the last acknowledged digest.
	unreported map[uint64]bool
}

func newPresence() *presence {
	return &presence{seen: map[uint64]observation{}, unreported: map[uint64]bool{}}
}

// heard records a message that this VM received from a process.
func (p *presence) heard(number uint64, revision uint64, at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.keepLatest(number, observation{at: at, revision: revision})
	p.unreported[number] = true
}

// setActivity adds to the latest observation whether tasks run at the process's target.
func (p *presence) setActivity(number uint64, reported activity) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if latest, found := p.seen[number]; found {
		latest.activity = reported
		p.seen[number] = latest
	}
}

// keepLatest stores an observation unless a later one is known.
func (p *presence) keepLatest(number uint64, observed observation) {
	if observed.at.After(p.seen[number].at) {
		p.seen[number] = observed
	}
}

// last returns the latest observation of a process.
func (p *presence) last(number uint64) (observation, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	latest, found := p.seen[number]
	return latest, found
}

// digest returns the unreported observations and marks them as reported. The caller passes the returned numbers to
// restore if the digest isn't delivered.
func (p *presence) digest(from string, revision uint64, now time.Time) (*rpc.DigestRequest, []uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	request := &rpc.DigestRequest{From: from, Revision: revision}
	numbers := make([]uint64, 0, len(p.unreported))
	for number := range p.unreported {
		numbers = append(numbers, number)
		latest := p.seen[number]
		switch latest.activity {
		case activityBusy:
			request.Busy = append(request.Busy, number)
		case activityIdle:
			request.Idle = append(request.Idle, number)
		case activityUnknown:
		}
		age := now.Sub(latest.at)
		if latest.revision != revision {
			request.Others = append(request.Others, &rpc.NodeSeen{
				Number: number, LastHeardMs: age.Milliseconds(), RevisionInForce: latest.revision,
			})
			continue
		}
		request.Current = append(request.Current, number)
		request.CurrentAge = append(request.CurrentAge, uint32((age+ageUnit-1)/ageUnit))
	}
	clear(p.unreported)
	return request, numbers
}

// restore marks processes as unreported again.
func (p *presence) restore(numbers []uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, number := range numbers {
		p.unreported[number] = true
	}
}

// markAllUnreported makes the next digest include all processes, for a new leader.
func (p *presence) markAllUnreported() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for number := range p.seen {
		p.unreported[number] = true
	}
}

// merge adds the observations in another VM's digest.
func (p *presence) merge(request *rpc.DigestRequest, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	activities := map[uint64]activity{}
	for _, number := range request.GetBusy() {
		activities[number] = activityBusy
	}
	for _, number := range request.GetIdle() {
		activities[number] = activityIdle
	}
	for i, number := range request.GetCurrent() {
		if i >= len(request.GetCurrentAge()) {
			break
		}
		age := time.Duration(request.GetCurrentAge()[i]) * ageUnit
		p.keepLatest(number, observation{
			at: now.Add(-age), revision: request.GetRevision(), activity: activities[number],
		})
	}
	for _, other := range request.GetOthers() {
		age := time.Duration(other.GetLastHeardMs()) * time.Millisecond
		p.keepLatest(other.GetNumber(), observation{
			at: now.Add(-age), revision: other.GetRevisionInForce(), activity: activities[other.GetNumber()],
		})
	}
}

// forget removes processes that are no longer registered.
func (p *presence) forget(registered map[uint64]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	gone := func(number uint64) bool { return !registered[number] }
	maps.DeleteFunc(p.seen, func(number uint64, _ observation) bool { return gone(number) })
	maps.DeleteFunc(p.unreported, func(number uint64, _ bool) bool { return gone(number) })
}
