package control

import (
	"maps"
	"sync"
	"time"

	"flamingohall.example/node/rpc"
)

// ageUnit is the unit of ages in digests.
const ageUnit = 100 * time.Millisecond

// sighting is when a process was last heard, and its catalogue revision then.
type sighting struct {
	at       time.Time
	revision uint64
}

// presence is the soft state of one control VM: whom it heard, itself or by digests. Processes stand as registry
// numbers.
type presence struct {
	mutex sync.Mutex
	seen  map[uint64]sighting
	// fresh holds what this VM itself heard since the last digest that was answered.
	fresh map[uint64]bool
}

func newPresence() *presence {
	return &presence{seen: map[uint64]sighting{}, fresh: map[uint64]bool{}}
}

// heard notes a message that came to this VM.
func (p *presence) heard(number uint64, revision uint64, at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.note(number, sighting{at: at, revision: revision})
	p.fresh[number] = true
}

// note keeps the later of two sightings.
func (p *presence) note(number uint64, got sighting) {
	if got.at.After(p.seen[number].at) {
		p.seen[number] = got
	}
}

// last returns the last sighting of a process.
func (p *presence) last(number uint64) (sighting, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	got, found := p.seen[number]
	return got, found
}

// digest returns what was heard since the last digest and forgets it; restore takes it back if it isn't delivered.
func (p *presence) digest(from string, revision uint64, now time.Time) (*rpc.DigestRequest, []uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	request := &rpc.DigestRequest{From: from, Revision: revision}
	numbers := make([]uint64, 0, len(p.fresh))
	for number := range p.fresh {
		numbers = append(numbers, number)
		got := p.seen[number]
		age := now.Sub(got.at)
		if got.revision != revision {
			request.Others = append(request.Others, &rpc.NodeSeen{
				Number: number, LastHeardMs: age.Milliseconds(), RevisionInForce: got.revision,
			})
			continue
		}
		request.Current = append(request.Current, number)
		request.CurrentAge = append(request.CurrentAge, uint32((age+ageUnit-1)/ageUnit))
	}
	clear(p.fresh)
	return request, numbers
}

// restore marks processes as fresh again.
func (p *presence) restore(numbers []uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, number := range numbers {
		p.fresh[number] = true
	}
}

// refreshAll marks everything seen as fresh, for a new leader.
func (p *presence) refreshAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for number := range p.seen {
		p.fresh[number] = true
	}
}

// merge takes another VM's digest in.
func (p *presence) merge(request *rpc.DigestRequest, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, number := range request.GetCurrent() {
		if i >= len(request.GetCurrentAge()) {
			break
		}
		age := time.Duration(request.GetCurrentAge()[i]) * ageUnit
		p.note(number, sighting{at: now.Add(-age), revision: request.GetRevision()})
	}
	for _, other := range request.GetOthers() {
		age := time.Duration(other.GetLastHeardMs()) * time.Millisecond
		p.note(other.GetNumber(), sighting{at: now.Add(-age), revision: other.GetRevisionInForce()})
	}
}

// forget drops processes that are no longer registered.
func (p *presence) forget(registered map[uint64]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	gone := func(number uint64) bool { return !registered[number] }
	maps.DeleteFunc(p.seen, func(number uint64, _ sighting) bool { return gone(number) })
	maps.DeleteFunc(p.fresh, func(number uint64, _ bool) bool { return gone(number) })
}
