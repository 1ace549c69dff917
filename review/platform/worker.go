package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Resources of every worker.
const (
	workerCPU    = 32000
	workerMemory = 65536
)

// worker is a sound worker of the platform, as PROTOCOL.md describes it.
type worker struct {
	cluster        *cluster
	name, ip, zone string
	mutex          sync.Mutex
	life           *life
	// failing is the share of its runs that end as failed, by the worker's fault.
	failing float64
}

type runKey struct {
	task string
	run  int
}

type run struct {
	runKey
	span     *span
	cpu      int64
	timer    *time.Timer
	begun    time.Time
	duration time.Duration
	stopping bool
}

type ended struct {
	number uint64
	runKey
	how  string
	span *span
	// lapsed is true once the lease has lapsed after this end.
	lapsed bool
}

// life is one incarnation.
type life struct {
	*worker
	id       string
	born     int64
	begun    time.Time
	context  context.Context
	end      context.CancelFunc
	server   *http.Server
	fence    uint64
	leaseEnd time.Time
	lease    *time.Timer
	runs     map[runKey]*run
	settled  map[string]int
	ends     []*ended
	noted    uint64
	changed  chan struct{}
}

// setFailing sets the share of its runs that fail.
func (w *worker) setFailing(share float64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.failing = share
	note("%s fails %.2f of its runs", w.name, share)
}

func newWorker(c *cluster, name, ip, zone string) *worker {
	w := &worker{cluster: c, name: name, ip: ip, zone: zone}
	atEnd(w.crash)
	return w
}

func (w *worker) start(id string) {
	ctx, end := context.WithCancel(context.Background())
	l := &life{
		worker: w, id: id, begun: time.Now(), born: time.Now().UnixMilli(), context: ctx, end: end,
		runs: map[runKey]*run{}, settled: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", l.call(l.handleStart))
	mux.HandleFunc("POST /-/run-stop", l.call(l.handleStop))
	mux.HandleFunc("POST /-/hold", l.call(l.handleHold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	l.server = &http.Server{Handler: mux}
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, w.cluster.workerPort()))
	if err != nil {
		cannotRun("%s: %v", w.name, err)
	}
	w.mutex.Lock()
	w.life = l
	w.mutex.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go l.beat()
}

// crash ends the incarnation: nothing runs any more.
func (w *worker) crash() {
	w.mutex.Lock()
	l := w.life
	w.life = nil
	if l == nil {
		w.mutex.Unlock()
		return
	}
	l.end()
	for _, r := range l.runs {
		r.timer.Stop()
		r.span.finish("crash")
	}
	w.mutex.Unlock()
	_ = l.server.Close()
}

func (l *life) clock() int64 { return 1000 + time.Since(l.begun).Milliseconds() }

func (l *life) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for sequence := 1; l.context.Err() == nil; sequence++ {
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": fmt.Sprintf("%s:%d", l.ip, l.cluster.workerPort()), "zone": l.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "seq_no": sequence, "born": l.born, "clock_ms": l.clock(),
			"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "labels": []string{"a", "r1-" + l.zone},
		})
		url := fmt.Sprintf("http://%s:%d/-/Instances.Heartbeat/%s", l.ip, l.cluster.controlPort(), l.id)
		wait := 100 * time.Millisecond
		if response, err := client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			if response.StatusCode/100 == 2 {
				wait = beatTime
			}
			_ = response.Body.Close()
		}
		select {
		case <-time.After(wait):
		case <-l.context.Done():
		}
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	AckCursor  uint64 `json:"ack_cursor"`
	WaitMS     int64  `json:"wait_ms"`
}

type reply struct {
	status int
	reason string
	lists  bool
}

func (l *life) call(handle func(*order) reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Expect-Instance") != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer := handle(&o)
		w.Header().Set("Content-Type", "application/json")
		body := l.body(&answer)
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
			percent := min(99, int(100*time.Since(r.begun)/max(1, r.duration)))
			running = append(running, []any{key.task, key.run, "", percent, float64(r.cpu)})
		}
		for _, e := range l.ends[:min(len(l.ends), 500)] {
			ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
		}
		fields["running"], fields["ended_runs"] = running, ends
	}
	text, _ := json.Marshal(fields)
	return text
}

// accept checks the token and extends the lease. The caller holds the mutex.
func (l *life) accept(o *order) (reply, bool) {
	if l.context.Err() != nil || o.Fence < l.fence {
		return reply{status: http.StatusConflict, reason: "fence"}, false
	}
	l.fence = o.Fence
	if o.DeadlineMS > 0 {
		until := time.Now().Add(min(maxHold, time.Duration(o.DeadlineMS-l.clock())*time.Millisecond))
		if until.After(l.leaseEnd) {
			l.leaseEnd = until
			if l.lease != nil {
				l.lease.Stop()
			}
			l.lease = time.AfterFunc(time.Until(until), l.expire)
		}
	}
	return reply{}, true
}

func (l *life) expire() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.context.Err() != nil || time.Now().Before(l.leaseEnd) {
		return
	}
	for _, e := range l.ends {
		e.lapsed = true
	}
	for key := range l.runs {
		l.finish(key, "lapsed")
	}
	for _, e := range l.ends {
		e.lapsed = true
	}
}

func (l *life) used() (cpu int64) {
	for _, r := range l.runs {
		cpu += r.cpu
	}
	return cpu
}

// plan reads a spec: "cpu=N ms=N fail=N", of which fail is the number of the task's runs that fail first.
func plan(spec string) (cpu int64, duration time.Duration, failures int) {
	for word := range strings.FieldsSeq(spec) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "cpu":
			cpu = int64(n)
		case "ms":
			duration = time.Duration(n) * time.Millisecond
		case "fail":
			failures = n
		}
	}
	return cpu, duration, failures
}

func (l *life) handleStart(o *order) reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if refusal, accepted := l.accept(o); !accepted {
		return refusal
	}
	key := runKey{o.Task, o.Run}
	if l.runs[key] != nil {
		return reply{status: http.StatusOK}
	}
	cpu, duration, failures := plan(o.Spec)
	switch {
	case o.Run <= l.settled[o.Task]:
		return reply{status: http.StatusConflict, reason: "old"}
	case !time.Now().Before(l.leaseEnd):
		return reply{status: http.StatusConflict, reason: "late"}
	case l.used()+cpu > workerCPU:
		return reply{status: http.StatusConflict, reason: "room"}
	}
	s := record.started(o.Task, o.Run, o.Spec, l.name)
	how := "done"
	if record.failsSoFar(o.Task) < failures || rand.Float64() < l.failing {
		how = "failed"
	}
	l.runs[key] = &run{runKey: key, span: s, cpu: cpu, begun: time.Now(), duration: duration, timer: time.AfterFunc(duration, func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if r := l.runs[key]; r != nil && !r.stopping {
			l.finish(key, how)
		}
	})}
	return reply{status: http.StatusOK}
}

// finish ends a run. The caller holds the mutex.
func (l *life) finish(key runKey, how string) {
	r := l.runs[key]
	if r == nil || l.context.Err() != nil {
		return
	}
	r.timer.Stop()
	delete(l.runs, key)
	l.settled[key.task] = max(l.settled[key.task], key.run)
	r.span.finish(how)
	l.ends = append(l.ends, &ended{number: l.noted + uint64(len(l.ends)) + 1, runKey: key, how: how, span: r.span})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *life) handleStop(o *order) reply {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if refusal, accepted := l.accept(o); !accepted {
		return refusal
	}
	key := runKey{o.Task, o.Run}
	l.settled[o.Task] = max(l.settled[o.Task], o.Run)
	if r := l.runs[key]; r != nil && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime-5*time.Millisecond, func() {
			l.mutex.Lock()
			defer l.mutex.Unlock()
			l.finish(key, "stopped")
		})
	}
	return reply{status: http.StatusOK}
}

func (l *life) handleHold(o *order) reply {
	l.mutex.Lock()
	if refusal, accepted := l.accept(o); !accepted {
		l.mutex.Unlock()
		return refusal
	}
	for len(l.ends) > 0 && l.ends[0].number <= o.AckCursor {
		e := l.ends[0]
		l.ends, l.noted = l.ends[1:], e.number
		e.span.note(!e.lapsed)
	}
	changed, hasEnds := l.changed, len(l.ends) > 0
	l.mutex.Unlock()
	if wait := min(o.WaitMS, 2000); wait > 0 && !hasEnds {
		select {
		case <-changed:
		case <-l.context.Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
	}
	return reply{status: http.StatusOK, lists: true}
}
