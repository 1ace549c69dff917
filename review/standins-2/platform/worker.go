package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	workerCPU = 32000
	workerMem = 65536
)

// worker is a strict stand-in for a worker of the platform.
type worker struct {
	cluster  *cluster
	name, ip string
	zone     string
	number   int
	mutex    sync.Mutex
	life     *life
	labels   []string
	// delays, if not nil, says whether a start gets no answer now. It carries out such a start later itself.
	delays func(o *order) bool
	// firstBeat is how long after its start the next incarnation sends its first heartbeat.
	firstBeat time.Duration
}

type runKey struct {
	task string
	run  uint32
}

type run struct {
	key     runKey
	begun   time.Time
	total   time.Duration
	cpu     int
	how     string
	timer   *time.Timer
	stops   bool
	saved   string
	savesMS int64
}

type end struct {
	number uint64
	run    runKey
	how    string
	saved  string
	lapsed bool
}

// life is one incarnation.
type life struct {
	*worker
	id       string
	born     int64
	begun    time.Time
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	server   *http.Server

	fence    uint64
	leaseEnd int64
	lease    *time.Timer
	runs     map[runKey]*run
	settled  map[string]uint32
	ends     []end
	noted    uint64
	changed  chan struct{}
	draining bool
	ackDrain time.Duration
	capacity int
	// dark is not nil once the machine has no power, and closed when it has power again.
	dark chan struct{}
}

func newWorker(c *cluster, name, ip, zone string, n int) *worker {
	return &worker{cluster: c, name: name, ip: ip, zone: zone, number: n, labels: []string{"a", fmt.Sprintf("r1-%d", n/3)}}
}

func (w *worker) start() { w.startAs(fmt.Sprintf("i-%s-%d", w.name, time.Now().UnixMilli())) }

func (w *worker) startAs(id string) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		worker: w, id: id, born: time.Now().UnixMilli(), begun: time.Now(), ctx: ctx, cancel: cancel,
		runs: map[runKey]*run{}, settled: map[string]uint32{}, changed: make(chan struct{}), capacity: workerCPU,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", l.serve(l.startRun))
	mux.HandleFunc("POST /-/run-stop", l.serve(l.stopRun))
	mux.HandleFunc("POST /-/hold", l.serve(l.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{Handler: mux}
	var err error
	for range 100 {
		if l.listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, w.cluster.ports.worker)); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		w.cluster.record.add("error", w.name, "", 0, err.Error())
		return
	}
	w.mutex.Lock()
	w.life = l
	w.mutex.Unlock()
	w.cluster.record.add("up", w.name, "", 0, id)
	go func() { _ = l.server.Serve(l.listener) }()
	go l.beat()
}

// goDark lets the worker's machine lose power for a while: nothing runs any more, nobody is answered, and connections hang. A new
// incarnation follows.
func (w *worker) goDark(d time.Duration) {
	w.mutex.Lock()
	l := w.life
	w.life = nil
	if l == nil {
		w.mutex.Unlock()
		return
	}
	l.dark = make(chan struct{})
	for _, r := range l.runs {
		r.timer.Stop()
	}
	l.cancel()
	w.cluster.record.add("down", w.name, "", 0, l.id+" (dark)")
	w.mutex.Unlock()
	time.Sleep(d)
	close(l.dark)
	_ = l.server.Close()
	w.start()
}

func (w *worker) isLife(l *life) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.life == l
}

// crash ends the incarnation without notice: nothing runs any more.
func (w *worker) crash() {
	w.mutex.Lock()
	l := w.life
	w.life = nil
	if l == nil {
		w.mutex.Unlock()
		return
	}
	l.cancel()
	for _, r := range l.runs {
		r.timer.Stop()
	}
	w.cluster.record.add("down", w.name, "", 0, l.id)
	w.mutex.Unlock()
	_ = l.server.Close()
}

func (l *life) clock() int64 { return 1000 + time.Since(l.begun).Milliseconds() }

func (l *life) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	time.Sleep(l.firstBeat)
	for n := 1; l.ctx.Err() == nil; n++ {
		state := "ready"
		l.mutex.Lock()
		if l.draining {
			state = "draining"
		}
		values := map[string]any{
			"service": service, "address": fmt.Sprintf("%s:%d", l.ip, l.cluster.ports.worker), "zone": l.zone, "version": "v1", "slots": 8,
			"state": state, "cold_remaining_ms": 0, "capacity": map[string]int{"cpu": l.capacity, "mem_mb": workerMem, "gpu": 0},
			"labels": l.labels, "clock_ms": l.clock(), "seq_no": n, "born": l.born,
		}
		l.mutex.Unlock()
		body, _ := json.Marshal(values)
		request, _ := http.NewRequestWithContext(l.ctx, http.MethodPost,
			fmt.Sprintf("http://%s:%d/-/Instances.Heartbeat/%s", l.ip, l.cluster.ports.control, l.id), bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		wait := heartbeatMS * time.Millisecond
		response, err := client.Do(request)
		if err != nil {
			wait = 300 * time.Millisecond
		} else {
			_ = response.Body.Close()
		}
		select {
		case <-time.After(wait):
		case <-l.ctx.Done():
		}
	}
}

// late is the share of orders that get no answer and are carried out 2 to 12 s later, lost that of calls whose answers are lost.
var late, lost float64

type order struct {
	Task       string `json:"task"`
	Run        uint32 `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

type reply struct {
	status int
	reason string
	lists  bool
}

func (l *life) serve(handle func(*order) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.mutex.Lock()
		dark := l.dark
		l.mutex.Unlock()
		if dark != nil {
			<-dark
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		isOrder := r.URL.Path != "/-/hold"
		if l.delays != nil && r.URL.Path == "/-/run-start" && l.delays(&o) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if isOrder && rand.Float64() < late {
			// The order waits on its way; its caller hears nothing.
			time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() { handle(&o) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		answer := handle(&o)
		if rand.Float64() < lost {
			panic(http.ErrAbortHandler)
		}
		body := l.body(&answer)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(answer.status)
		_, _ = w.Write(body)
	}
}

func (l *life) body(answer *reply) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fields := map[string]any{"clock_ms": l.clock(), "born": l.born}
	if answer.reason != "" {
		fields["reason"] = answer.reason
	}
	if answer.lists {
		running, ends := []any{}, []any{}
		for key, r := range l.runs {
			percent := min(99, int(100*time.Since(r.begun)/max(1, r.total)))
			running = append(running, []any{key.task, key.run, r.saved, percent, r.cpu})
		}
		for _, e := range l.ends[:min(len(l.ends), 500)] {
			ends = append(ends, []any{e.number, e.run.task, e.run.run, e.how, e.saved})
		}
		fields["running"], fields["ended_runs"] = running, ends
	}
	text, _ := json.Marshal(fields)
	return text
}

// accept checks the fence and extends the lease. The caller holds the mutex.
func (l *life) accept(o *order) (reply, bool) {
	if l.ctx.Err() != nil || o.Fence < l.fence {
		return reply{status: http.StatusConflict, reason: "fence"}, false
	}
	l.fence = o.Fence
	deadline := min(o.DeadlineMS, l.clock()+maxHoldMS)
	if deadline > l.leaseEnd {
		l.leaseEnd = deadline
		if l.lease != nil {
			l.lease.Stop()
		}
		l.lease = time.AfterFunc(time.Duration(deadline-l.clock())*time.Millisecond, l.expire)
	}
	return reply{}, true
}

func (l *life) expire() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	if left := l.leaseEnd - l.clock(); left > 0 {
		l.lease = time.AfterFunc(time.Duration(left)*time.Millisecond, l.expire)
		return
	}
	for i := range l.ends {
		l.ends[i].lapsed = true
	}
	for key := range l.runs {
		l.finish(key, "lapsed")
	}
}

// number returns the value of a field "key=N" of a spec, or the default.
func number(spec, key string, otherwise int) int {
	for _, field := range strings.Fields(spec) {
		if text, found := strings.CutPrefix(field, key+"="); found {
			value := 0
			_, _ = fmt.Sscanf(text, "%d", &value)
			return value
		}
	}
	return otherwise
}

func (l *life) startRun(o *order) reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if refusal, ok := l.accept(o); !ok {
		return refusal
	}
	key := runKey{o.Task, o.Run}
	if l.runs[key] != nil {
		return reply{status: http.StatusOK}
	}
	cpu, reason, used := number(o.Spec, "cpu", 1000), "", 0
	for _, r := range l.runs {
		used += r.cpu
	}
	switch {
	case o.Run <= l.settled[o.Task]:
		reason = "old"
	case l.leaseEnd <= l.clock():
		reason = "late"
	case used+cpu > l.capacity:
		reason = "room"
	}
	if reason != "" {
		l.cluster.record.add("rejected", l.name, o.Task, o.Run, reason)
		return reply{status: http.StatusConflict, reason: reason}
	}
	parts := strings.Split(o.Task, ".")
	millis := number(o.Spec, "ms", 100)
	millis = number(o.Spec, "ms"+parts[2], millis)
	how := "done"
	// fail=N: the first N runs of the task with index 0 fail.
	if parts[3] == "0" && l.cluster.failures(o.Task, number(o.Spec, "fail", 0)) {
		how = "failed"
	}
	r := &run{key: key, begun: time.Now(), total: time.Duration(millis) * time.Millisecond, cpu: cpu, how: how, saved: o.Checkpoint}
	l.runs[key] = r
	l.cluster.record.add("start", l.name, o.Task, o.Run, "checkpoint="+o.Checkpoint)
	if parts[3] == "0" && number(o.Spec, "crash", 0) > 0 {
		w := l.worker
		time.AfterFunc(30*time.Millisecond, func() {
			if !w.isLife(l) {
				return
			}
			w.cluster.record.add("crashed", w.name, o.Task, o.Run, "")
			w.crash()
			time.Sleep(time.Duration(number(o.Spec, "crash", 0)) * time.Millisecond)
			w.start()
		})
	}
	r.timer = time.AfterFunc(r.total, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.runs[key] == r && !r.stops {
			l.finish(key, r.how)
		}
	})
	return reply{status: http.StatusOK}
}

// finish ends a run. The caller holds the mutex.
func (l *life) finish(key runKey, how string) {
	r := l.runs[key]
	if r == nil || l.ctx.Err() != nil {
		return
	}
	r.timer.Stop()
	delete(l.runs, key)
	l.settled[key.task] = max(l.settled[key.task], key.run)
	number := l.noted + uint64(len(l.ends)) + 1
	l.ends = append(l.ends, end{number: number, run: key, how: how, saved: r.saved})
	l.cluster.record.add("end", l.name, key.task, key.run, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) stopRun(o *order) reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if refusal, ok := l.accept(o); !ok {
		return refusal
	}
	key := runKey{o.Task, o.Run}
	l.settled[o.Task] = max(l.settled[o.Task], o.Run)
	l.cluster.record.add("stop", l.name, o.Task, o.Run, "")
	if r := l.runs[key]; r != nil && !r.stops {
		r.stops = true
		time.AfterFunc(20*time.Millisecond, func() {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.finish(key, "stopped")
		})
	}
	return reply{status: http.StatusOK}
}

func (l *life) hold(o *order) reply {
	l.mutex.Lock()
	refusal, ok := l.accept(o)
	if !ok {
		l.mutex.Unlock()
		return refusal
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.AckCursor {
		e := l.ends[0]
		l.ends, l.noted = l.ends[1:], e.number
		detail := e.how
		if e.lapsed {
			detail += " (lease lapsed before)"
		}
		l.cluster.record.add("noted", l.name, e.run.task, e.run.run, detail)
	}
	changed, has := l.changed, len(l.ends) > 0
	l.mutex.Unlock()
	if wait := min(o.WaitMS, 2000); wait > 0 && !has {
		select {
		case <-changed:
		case <-l.ctx.Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	return reply{status: http.StatusOK, lists: true}
}

var (
	failMutex  sync.Mutex
	failCounts = map[string]int{}
)

// failures reports whether this run of a task fails, if its first runs do.
func (c *cluster) failures(task string, first int) bool {
	failMutex.Lock()
	defer failMutex.Unlock()
	failCounts[task]++
	return failCounts[task] <= first
}
