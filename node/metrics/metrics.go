// Package metrics publishes counters and gauges through expvar, one map for each role of the process.
package metrics

import (
	"expvar"
	"sync"
)

// Role is the expvar map of one role in this process.
type Role struct {
	values *expvar.Map
}

var (
	rolesMutex sync.Mutex
	roles      = expvar.NewMap("flamingohall")
)

// NewRole returns the map flamingohall.<role>.<node id>, which it creates on first use.
func NewRole(role, nodeID string) *Role {
	rolesMutex.Lock()
	defer rolesMutex.Unlock()
	byNode := child(roles, role)
	return &Role{values: child(byNode, nodeID)}
}

func child(parent *expvar.Map, name string) *expvar.Map {
	if existing, found := parent.Get(name).(*expvar.Map); found {
		return existing
	}
	created := new(expvar.Map).Init()
	parent.Set(name, created)
	return created
}

// Add adds delta to the counter of that name.
func (r *Role) Add(name string, delta int64) {
	r.values.Add(name, delta)
}

// Sub returns the metrics of one member of a group, which are published below those of the role. It creates them on first use, and
// must not be called concurrently.
func (r *Role) Sub(group, member string) *Role {
	return &Role{values: child(child(r.values, group), member)}
}

// Gauge publishes a value that is computed each time it is read.
func (r *Role) Gauge(name string, value func() any) {
	r.values.Set(name, expvar.Func(value))
}

// Counter returns the current value of a counter, 0 if it does not exist.
func (r *Role) Counter(name string) int64 {
	counter, found := r.values.Get(name).(*expvar.Int)
	if !found {
		return 0
	}
	return counter.Value()
}
