package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the site savinja-trosarina.
const (
	maxHoldMS     = 1000
	stopMS        = 50
	heartbeatMS   = 1500
	workerCPU     = 32000
	workerMemory  = 65536
	stopTakes     = 10 * time.Millisecond
	restoreMS     = 100
	grace         = 6 * time.Second
	service       = "huvo11a"
	clockStartsAt = 100_000
)

// startEvent is a start that the worker has carried out.
type startEvent struct {
	worker, life string
	task         string
	run          uint32
	at           time.Duration
	endedAt      time.Duration // 0 while it runs
	how          string
	// notedAt is when ack_cursor reached the end; 0 if it has not. lapsed is true if the lease lapsed between the two.
	notedAt time.Duration
	lapsed  bool
	spec    string
}

// ledger holds all starts at all workers.
type ledger struct {
	mutex  sync.Mutex
	starts []*startEvent
}

// worker is a sound worker as PROTOCOL.md describes it.
type worker struct {
	record *record
	ledger *ledger
	name   string
	ip     string
	zone   string
	rack   string
	labels []string
	port   int
	side   int // port of the sidecar's control address
	cpu    int64

	mutex     sync.Mutex
	id        string
	born      int64
	lifeBegan time.Time
	fence     uint64
	leaseEnd  int64
	lapses    int
	leaseT    *time.Timer
	running   map[string]*running
	settled   map[string]uint32
	ends      []endRow
	lastEnd   uint64
	changed   chan struct{}
	state     string
	sequence  int
	draining  bool
	server    *http.Server
	stopLife  context.CancelFunc
	// fails decides whether a run ends failed; nil for none.
	fails func(task string, run uint32) bool
	// silent makes the worker accept no calls while it is true: see cut.
	up bool
	// answerDelay, if set, delays the answer of a call after it was carried out.
	answerDelay func(path string) time.Duration
}

type running struct {
	event    *startEvent
	duration time.Duration
	began    time.Time
	timer    *time.Timer
	stopping bool
}

type endRow struct {
	number uint64
	event  *startEvent
	lapses int
}

func (w *worker) clock() int64 { return clockStartsAt + time.Since(w.lifeBegan).Milliseconds() }

// start begins a life of the worker under an id.
func (w *worker) start(id string) error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.id, w.born, w.lifeBegan = id, time.Now().UnixMilli(), time.Now()
	w.fence, w.leaseEnd, w.lapses, w.ends, w.lastEnd = 0, 0, 0, nil, 0
	w.running, w.settled, w.changed = map[string]*running{}, map[string]uint32{}, make(chan struct{})
	w.state, w.sequence, w.up = "ready", 0, true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serve(w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.serve(w.runStop))
	mux.HandleFunc("POST /-/hold", w.serve(w.hold))
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", w.ip, w.port))
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	ctx, cancel := context.WithCancel(context.Background())
	w.stopLife = cancel
	go w.beat(ctx)
	w.record.say("worker %s up as %s", w.name, id)
	return nil
}

// crash ends the life: nothing runs any more.
func (w *worker) crash() {
	w.mutex.Lock()
	w.up = false
	w.stopLife()
	if w.leaseT != nil {
		w.leaseT.Stop()
	}
	now := w.record.since()
	for _, r := range w.running {
		r.timer.Stop()
		r.event.endedAt, r.event.how = now, "crashed"
	}
	w.running = map[string]*running{}
	server := w.server
	w.record.say("worker %s down", w.name)
	w.mutex.Unlock()
	_ = server.Close()
}

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

type answer struct {
	status int
	body   map[string]any
}

func (w *worker) serve(call func(*order, <-chan struct{}) answer) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mutex.Lock()
		id := w.id
		w.mutex.Unlock()
		var a answer
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			a = answer{status: http.StatusMisdirectedRequest, body: map[string]any{}}
		} else {
			a = call(&o, r.Context().Done())
		}
		if w.answerDelay != nil {
			if d := w.answerDelay(r.URL.Path); d > 0 {
				time.Sleep(d)
			}
		}
		w.mutex.Lock()
		a.body["clock_ms"], a.body["born"] = w.clock(), w.born
		w.mutex.Unlock()
		text, _ := json.Marshal(a.body)
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(a.status)
		_, _ = rw.Write(text)
	}
}

func ok() answer { return answer{status: http.StatusOK, body: map[string]any{}} }

func refused(reason string) answer {
	return answer{status: http.StatusConflict, body: map[string]any{"reason": reason}}
}

// seeFence reports whether the order's token is as high as any seen. The caller holds the mutex.
func (w *worker) seeFence(o *order) bool {
	if o.Fence < w.fence {
		return false
	}
	w.fence = o.Fence
	return true
}

// extend takes over a lease. It never shortens. The caller holds the mutex.
func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+maxHoldMS)
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	if w.leaseT != nil {
		w.leaseT.Stop()
	}
	began := w.lifeBegan
	w.leaseT = time.AfterFunc(time.Duration(deadline-w.clock())*time.Millisecond, func() { w.lapse(began) })
}

func (w *worker) lapse(began time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.lifeBegan != began || !w.up || w.clock() < w.leaseEnd {
		return
	}
	w.lapses++
	for task := range w.running {
		w.end(task, "lapsed")
	}
}

// end ends a run and lists it. The caller holds the mutex.
func (w *worker) end(task, how string) {
	r := w.running[task]
	if r == nil {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.lastEnd++
	r.event.endedAt, r.event.how = w.record.since(), how
	w.ends = append(w.ends, endRow{number: w.lastEnd, event: r.event, lapses: w.lapses})
	w.settled[task] = max(w.settled[task], r.event.run)
	w.record.say("end    %-34s run %d at %s: %s", task, r.event.run, w.name, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// durationOf reads the time that a task takes from the spec: "MS,MS,..." by the number of the step.
func durationOf(spec, task string) time.Duration {
	times, _, _ := strings.Cut(spec, " ")
	parts := strings.Split(times, ",")
	name := strings.Split(task, ".")
	step, _ := strconv.Atoi(name[2])
	ms, _ := strconv.Atoi(parts[min(step, len(parts)-1)])
	return time.Duration(ms) * time.Millisecond
}

// cpuOf reads a task's cpu from the spec: "TIMES CPU". The bench's workers know a task's needs by its job; these by its spec.
func cpuOf(spec string) int64 {
	_, rest, _ := strings.Cut(spec, " ")
	first, _, _ := strings.Cut(rest, " ")
	cpu, _ := strconv.ParseInt(first, 10, 64)
	return cpu
}

func (w *worker) runStart(o *order, _ <-chan struct{}) answer {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.seeFence(o) {
		return refused("fence")
	}
	if o.DeadlineMS > w.clock() {
		w.extend(o.DeadlineMS)
	}
	if r := w.running[o.Task]; r != nil && r.event.run == o.Run {
		return ok()
	} else if r != nil && r.event.run > o.Run || o.Run <= w.settled[o.Task] {
		return refused("old")
	} else if r != nil {
		return refused("room")
	}
	if w.leaseEnd <= w.clock() || o.DeadlineMS != 0 && o.DeadlineMS <= w.clock() {
		return refused("late")
	}
	used := cpuOf(o.Spec)
	for _, r := range w.running {
		used += cpuOf(r.event.spec)
	}
	if used > w.cpu {
		return refused("room")
	}
	e := &startEvent{worker: w.name, life: w.id, task: o.Task, run: o.Run, at: w.record.since(), spec: o.Spec}
	r := &running{event: e, duration: durationOf(o.Spec, o.Task), began: time.Now()}
	began := w.lifeBegan
	r.timer = time.AfterFunc(r.duration, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		if w.lifeBegan != began || w.running[o.Task] != r || r.stopping {
			return
		}
		if w.fails != nil && w.fails(o.Task, o.Run) {
			w.end(o.Task, "failed")
			return
		}
		w.end(o.Task, "done")
	})
	w.running[o.Task] = r
	w.ledger.mutex.Lock()
	w.ledger.starts = append(w.ledger.starts, e)
	w.ledger.mutex.Unlock()
	w.record.say("start  %-34s run %d at %s", o.Task, o.Run, w.name)
	return ok()
}

func (w *worker) runStop(o *order, _ <-chan struct{}) answer {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.seeFence(o) {
		return refused("fence")
	}
	w.settled[o.Task] = max(w.settled[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.event.run <= o.Run && !r.stopping {
		r.stopping = true
		began := w.lifeBegan
		time.AfterFunc(stopTakes, func() {
			w.mutex.Lock()
			defer w.mutex.Unlock()
			if w.lifeBegan == began && w.running[o.Task] == r {
				w.end(o.Task, "stopped")
			}
		})
	}
	return ok()
}

func (w *worker) hold(o *order, gone <-chan struct{}) answer {
	w.mutex.Lock()
	if !w.seeFence(o) {
		w.mutex.Unlock()
		return refused("fence")
	}
	if o.DeadlineMS > 0 {
		w.extend(o.DeadlineMS)
	}
	now := w.record.since()
	w.ends = slices.DeleteFunc(w.ends, func(e endRow) bool {
		if e.number > o.AckCursor {
			return false
		}
		e.event.notedAt, e.event.lapsed = now, w.lapses > e.lapses
		return true
	})
	wait := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for o.WaitMS > 0 && len(w.ends) == 0 {
		changed := w.changed
		w.mutex.Unlock()
		select {
		case <-changed:
			w.mutex.Lock()
			continue
		case <-wait:
		case <-gone:
		}
		w.mutex.Lock()
		break
	}
	defer w.mutex.Unlock()
	rows, ends := [][]any{}, [][]any{}
	for task, r := range w.running {
		percent := 100 * time.Since(r.began).Seconds() / max(0.001, r.duration.Seconds())
		rows = append(rows, []any{task, r.event.run, "", int(min(99, percent)), cpuOf(r.event.spec)})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		ends = append(ends, []any{e.number, e.event.task, e.event.run, e.event.how, ""})
	}
	return answer{status: http.StatusOK, body: map[string]any{"running": rows, "ended_runs": ends}}
}

// beat sends heartbeats until the life ends.
func (w *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		wait := heartbeatMS * time.Millisecond
		if !w.sendBeat(ctx, client) {
			wait = 100 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (w *worker) sendBeat(ctx context.Context, client *http.Client) bool {
	w.mutex.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": fmt.Sprintf("%s:%d", w.ip, w.port), "zone": w.zone, "version": "v1", "slots": 8,
		"state": w.state, "cold_remaining_ms": 0, "seq_no": w.sequence, "born": w.born, "clock_ms": w.clock(),
		"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": workerMemory, "gpu": 0}, "labels": append([]string{w.rack}, w.labels...),
	})
	url := fmt.Sprintf("http://%s:%d/-/Instances.Heartbeat/%s", w.ip, w.side, w.id)
	w.mutex.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode/100 == 2
}

// leave drains the worker as planned: it says so, goes on for drain_ms and a little longer after the acknowledgement, deregisters and ends.
func (w *worker) leave() {
	w.mutex.Lock()
	w.state = "draining"
	id := w.id
	w.mutex.Unlock()
	client := &http.Client{Timeout: time.Second}
	for range 20 {
		if w.sendBeat(context.Background(), client) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.record.say("worker %s is draining", w.name)
	time.Sleep(2300 * time.Millisecond)
	response, err := client.Post(fmt.Sprintf("http://%s:%d/-/Instances.Deregister/%s", w.ip, w.side, id), "application/json", strings.NewReader("{}"))
	if err == nil {
		_ = response.Body.Close()
	}
	w.record.say("worker %s has deregistered", w.name)
	w.crash()
}

// holds reports whether a task runs at the worker.
func (w *worker) holds(task string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.running[task] != nil
}
