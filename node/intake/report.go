package intake

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/node/events"
	"flamingohall.example/node/metrics"
)

// reportPeriod is the shortest time between two lines of the log about refused clients.
const reportPeriod = 10 * time.Second

// Counters of what happened to clients, which are also fields of the log's lines.
const (
	closedConnection  = "connections_closed"
	refusedConnection = "connections_refused"
	refusedHeader     = "headers_refused"
	refusedBody       = "bodies_refused"
)

// counters lists them in the order of the fields.
var counters = []string{closedConnection, refusedConnection, refusedHeader, refusedBody}

// report counts the clients that were refused, and logs the counts from time to time.
type report struct {
	logger  logr.Logger
	metrics *metrics.Role

	mutex   sync.Mutex
	pending map[string]int
	// isRunning is true while flush is scheduled.
	isRunning bool
}

func (r *report) add(counter string) {
	r.metrics.Add(counter, 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.pending == nil {
		r.pending = map[string]int{}
	}
	r.pending[counter]++
	if !r.isRunning {
		r.isRunning = true
		r.write()
	}
}

// flush logs what was counted since the last line.
func (r *report) flush() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.pending) == 0 {
		r.isRunning = false
		return
	}
	r.write()
}

func (r *report) write() {
	fields := make([]any, 0, 2*len(counters))
	for _, counter := range counters {
		if count := r.pending[counter]; count > 0 {
			fields = append(fields, counter, count)
		}
	}
	clear(r.pending)
	events.ClientsRefused.Log(r.logger, fields...)
	time.AfterFunc(reportPeriod, r.flush)
}
