package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/node/controlclient"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

// fakeFollower serves a view that the test sets, and a fakeControl.
type fakeFollower struct {
	mutex   sync.Mutex
	view    *controlclient.View
	changed chan struct{}
	control *fakeControl
}

func (f *fakeFollower) Start(context.Context) {}
func (f *fakeFollower) Ready() error          { return nil }
func (f *fakeFollower) View() *controlclient.View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

func (f *fakeFollower) Changed() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}
func (f *fakeFollower) Announce()                     {}
func (f *fakeFollower) Goodbye(context.Context) error { return nil }
func (f *fakeFollower) Control() rpc.Control          { return f.control }

// set publishes a view with the given nodes.
func (f *fakeFollower) set(nodes ...*rpc.Node) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view := &controlclient.View{Revision: 1, Catalogue: testCatalogue, Nodes: map[string]*rpc.Node{}}
	for _, node := range nodes {
		view.Nodes[node.GetId()] = node
	}
	f.view = view
	close(f.changed)
	f.changed = make(chan struct{})
}

var testCatalogue = catalogue.Document{
	Owners: []catalogue.Owner{{Name: "team/a", Weight: 1}, {Name: "b", Weight: 1}},
	Entries: []catalogue.Entry{
		{
			Name: "check", Owner: "team/a", Class: catalogue.Repeatable, Pool: "pool", Slots: 1,
			ExpectedRunMS: 50, DeadlineMS: 2000, MaxTasks: 1400, Attempts: 3,
			Objective: catalogue.Objective{LatencyMS: 500, Ratio: 0.9},
		},
		{
			Name: "commit", Owner: "team/a", Class: catalogue.NeverRepeated, Pool: "pool", Slots: 1,
			ExpectedRunMS: 50, DeadlineMS: 2000, MaxTasks: 1400, Attempts: 1,
			Objective: catalogue.Objective{LatencyMS: 500, Ratio: 0.9},
		},
	},
}

// fakeControl stores claims and answers in memory. Several entries may share it.
type fakeControl struct {
	rpc.Control
	mutex  sync.Mutex
	claims map[string]*fakeClaim
	// live maps the incarnations of live holders to their addresses.
	live map[string]string
	fail error
}

type fakeClaim struct {
	epoch   uint64
	holder  string
	digest  string
	targets []*rpc.ClaimTarget
	answer  []byte
}

func newFakeControl() *fakeControl {
	return &fakeControl{claims: map[string]*fakeClaim{}, live: map[string]string{}}
}

func (c *fakeControl) Claim(_ context.Context, r *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.fail != nil {
		return nil, c.fail
	}
	held := c.claims[r.GetJobId()]
	if held == nil {
		held = &fakeClaim{epoch: 1, holder: r.GetHolderIncarnation(), digest: string(r.GetBodyDigest()), targets: r.GetTargets()}
		c.claims[r.GetJobId()] = held
		return &rpc.ClaimResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_GRANTED, Epoch: 1}, nil
	}
	switch {
	case held.digest != string(r.GetBodyDigest()):
		return &rpc.ClaimResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_CONFLICT}, nil
	case held.answer != nil:
		return &rpc.ClaimResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_FINISHED, Answer: held.answer}, nil
	case r.GetTakeOverEpoch() == held.epoch && c.live[held.holder] == "":
		earlier := held.targets
		held.epoch++
		held.holder = r.GetHolderIncarnation()
		held.targets = append(held.targets, r.GetTargets()...)
		return &rpc.ClaimResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_GRANTED, Epoch: held.epoch, Targets: earlier}, nil
	case r.GetExtendEpoch() == held.epoch:
		held.targets = append(held.targets, r.GetTargets()...)
		return &rpc.ClaimResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_GRANTED, Epoch: held.epoch}, nil
	}
	address := c.live[held.holder]
	return &rpc.ClaimResponse{
		Status: rpc.ClaimStatus_CLAIM_STATUS_HELD, Epoch: held.epoch, HolderLive: address != "", HolderAddress: address,
	}, nil
}

func (c *fakeControl) Finish(_ context.Context, r *rpc.FinishRequest) (*rpc.FinishResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.fail != nil {
		return nil, c.fail
	}
	held := c.claims[r.GetJobId()]
	if held == nil || held.epoch != r.GetEpoch() {
		return &rpc.FinishResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_FENCED}, nil
	}
	held.answer = r.GetAnswer()
	return &rpc.FinishResponse{Status: rpc.ClaimStatus_CLAIM_STATUS_FINISHED}, nil
}

// fakeLinks connects an entry to fake sidecars and to other entries in memory.
type fakeLinks struct {
	sidecars map[string]*fakeSidecar
	peers    map[string]rpc.Peer
}

func (l *fakeLinks) Sidecar(address string) rpc.Sidecar { return l.sidecars[address].connect(false) }
func (l *fakeLinks) Fresh(address string) rpc.Sidecar   { return l.sidecars[address].connect(true) }
func (l *fakeLinks) Peer(address string) rpc.Peer       { return l.peers[address] }
func (l *fakeLinks) Retire(string)                      {}
func (l *fakeLinks) RetainOnly(map[string]bool)         {}

// fakeSidecar runs each task for a fixed time and records its outcome.
type fakeSidecar struct {
	mutex    sync.Mutex
	id       string
	run      time.Duration
	outcome  rpc.Outcome
	cause    rpc.Cause
	tasks    map[string]*fakeTask
	starts   map[string]int
	sealed   map[string]bool
	sequence uint64
	busy     int
	// dropPooledAnswers and dropFreshAnswers drop the responses of calls over each kind of connection.
	dropPooledAnswers, dropFreshAnswers bool
	// dropRuns drops the requests of Run calls.
	dropRuns   bool
	runs       int
	cancelled  int
	cancelRPCs int
	// cancelFailures is the number of Cancel calls that get no answer.
	cancelFailures int
}

type fakeTask struct {
	ended    chan struct{}
	reported *rpc.TaskOutcome
}

func newFakeSidecar(id string, run time.Duration) *fakeSidecar {
	return &fakeSidecar{
		id: id, run: run, outcome: rpc.Outcome_OUTCOME_DONE,
		tasks: map[string]*fakeTask{}, starts: map[string]int{}, sealed: map[string]bool{},
	}
}

func (s *fakeSidecar) node() *rpc.Node {
	return &rpc.Node{
		Id: s.id, Role: rpc.Role_ROLE_SIDECAR, Incarnation: s.id + "-1", DataCentre: "dc", Address: s.id,
		Target: &rpc.TargetInfo{Pool: "pool", Slots: 8},
	}
}

// connection is a fakeSidecar that is called over one kind of connection.
type connection struct {
	*fakeSidecar
	fresh bool
}

func (s *fakeSidecar) connect(fresh bool) rpc.Sidecar { return &connection{s, fresh} }

func (c *connection) dropsAnswers() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dropFreshAnswers && c.fresh || c.dropPooledAnswers && !c.fresh
}

func (c *connection) Run(ctx context.Context, r *rpc.RunRequest) (*rpc.RunResponse, error) {
	c.mutex.Lock()
	c.runs++
	isDropped := c.dropRuns
	c.mutex.Unlock()
	if isDropped {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response := &rpc.RunResponse{Incarnation: c.id + "-1"}
	tasks := make([]*fakeTask, 0, len(r.GetTasks()))
	for _, spec := range r.GetTasks() {
		tasks = append(tasks, c.start(r.GetJobId(), spec))
	}
	hold := time.After(time.Duration(r.GetHoldMs()) * time.Millisecond)
	for _, task := range tasks {
		select {
		case <-task.ended:
		case <-hold:
			hold = nil
		}
		c.mutex.Lock()
		response.Outcomes = append(response.Outcomes, task.reported)
		c.mutex.Unlock()
	}
	if c.dropsAnswers() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response.Load = c.load()
	return response, nil
}

func (s *fakeSidecar) start(jobID string, spec *rpc.TaskSpec) *fakeTask {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := fmt.Sprint(jobID, "-", spec.GetIndex(), "-", spec.GetAttempt())
	if known := s.tasks[name]; known != nil {
		return known
	}
	task := &fakeTask{ended: make(chan struct{}), reported: &rpc.TaskOutcome{Index: spec.GetIndex(), Attempt: spec.GetAttempt()}}
	s.tasks[name] = task
	id := fmt.Sprint(jobID, "-", spec.GetIndex())
	if s.sealed[id] {
		task.reported.Outcome, task.reported.Cause = rpc.Outcome_OUTCOME_NOT_RUN, rpc.Cause_CAUSE_SEALED
		close(task.ended)
		return task
	}
	s.starts[id]++
	s.busy++
	task.reported.Outcome = rpc.Outcome_OUTCOME_RUNNING
	payload := spec.GetPayload()
	time.AfterFunc(s.run, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.busy--
		task.reported = &rpc.TaskOutcome{
			Index: spec.GetIndex(), Attempt: spec.GetAttempt(), Outcome: s.outcome, Cause: s.cause, Result: payload,
			RunUs: s.run.Microseconds(),
		}
		close(task.ended)
	})
	return task
}

func (s *fakeSidecar) load() *rpc.Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	return &rpc.Load{Slots: 8, Busy: uint32(s.busy), Sequence: s.sequence}
}

func (c *connection) Status(ctx context.Context, r *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	if c.dropsAnswers() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response := &rpc.StatusResponse{Incarnation: c.id + "-1", Load: c.load()}
	response.Outcomes = c.latestOutcomes(r.GetJobId(), r.GetIndexes())
	return response, nil
}

// latestOutcomes returns the outcome of the latest attempt of each known task.
func (s *fakeSidecar) latestOutcomes(jobID string, indexes []uint32) []*rpc.TaskOutcome {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var outcomes []*rpc.TaskOutcome
	for _, index := range indexes {
		for attempt := 9; attempt > 0; attempt-- {
			if task := s.tasks[fmt.Sprint(jobID, "-", index, "-", attempt)]; task != nil {
				outcomes = append(outcomes, task.reported)
				break
			}
		}
	}
	return outcomes
}

func (c *connection) Seal(ctx context.Context, r *rpc.SealRequest) (*rpc.SealResponse, error) {
	if c.dropsAnswers() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	response := &rpc.SealResponse{Incarnation: c.id + "-1", Outcomes: c.latestOutcomes(r.GetJobId(), r.GetIndexes())}
	seen := map[uint32]bool{}
	for _, reported := range response.GetOutcomes() {
		seen[reported.GetIndex()] = true
	}
	for _, index := range r.GetIndexes() {
		if seen[index] {
			continue
		}
		c.mutex.Lock()
		c.sealed[fmt.Sprint(r.GetJobId(), "-", index)] = !r.GetAll()
		c.mutex.Unlock()
		response.Outcomes = append(response.Outcomes, &rpc.TaskOutcome{
			Index: index, Outcome: rpc.Outcome_OUTCOME_NOT_RUN, Cause: rpc.Cause_CAUSE_SEALED,
		})
	}
	response.Load = c.load()
	return response, nil
}

func (c *connection) Cancel(_ context.Context, r *rpc.CancelRequest) (*rpc.CancelResponse, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancelRPCs++
	if c.cancelRPCs <= c.cancelFailures {
		return nil, context.DeadlineExceeded
	}
	for _, cancelled := range r.GetJobs() {
		c.cancelled += len(cancelled.GetIndexes())
	}
	return &rpc.CancelResponse{}, nil
}

// testEntry is an entry with fake dependencies.
type testEntry struct {
	*Entry
	followerFake *fakeFollower
	links        *fakeLinks
}

// newTestEntry returns an entry that is not started yet.
func newTestEntry(t *testing.T, id string, control *fakeControl, sidecars ...*fakeSidecar) *testEntry {
	t.Helper()
	file := &settings.File{
		Node: settings.Node{ID: id, DataCentre: "dc", StopGraceMS: 5000, BalancerGraceMS: 1, Advertise: id},
		Entry: &settings.Entry{
			CallersListen: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxWaiting: 50_000, AnswerMemoryMB: 1,
			Policy: "two_choices",
		},
	}
	e, err := prepare(file, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	followerFake := &fakeFollower{changed: make(chan struct{}), control: control}
	linksFake := &fakeLinks{sidecars: map[string]*fakeSidecar{}, peers: map[string]rpc.Peer{}}
	var nodes []*rpc.Node
	for _, sidecar := range sidecars {
		linksFake.sidecars[sidecar.id] = sidecar
		nodes = append(nodes, sidecar.node())
	}
	followerFake.set(nodes...)
	e.follower, e.links = followerFake, linksFake
	control.live[e.incarnation] = id
	return &testEntry{Entry: e, followerFake: followerFake, links: linksFake}
}

// runLoop runs only the loop, without the callers' listener, until stop is called.
func (e *testEntry) runLoop(t *testing.T) (stop func()) {
	t.Helper()
	loopCtx, cancel := context.WithCancel(t.Context())
	e.loop.loopCtx = loopCtx
	go e.loop.run()
	e.loop.post(viewChanged{view: e.followerFake.View()})
	return cancel
}

// submit submits n tasks to the loop.
func (e *testEntry) submit(t *testing.T, entry, key string, n int) (*record, error) {
	t.Helper()
	s, err := decodeSubmission([]byte(body(entry, key, n)))
	if err != nil {
		t.Fatal(err)
	}
	a, err := s.accept(testCatalogue, 1)
	if err != nil {
		t.Fatal(err)
	}
	r, refusal := e.loop.submit(t.Context(), a)
	if refusal != nil {
		return nil, refusal
	}
	return r, nil
}

// answerOf submits n tasks and waits for the answer.
func (e *testEntry) answerOf(t *testing.T, entry, key string, n int) answer {
	t.Helper()
	r, err := e.submit(t, entry, key, n)
	if err != nil {
		t.Fatal(err)
	}
	<-r.done
	if r.failure != nil {
		t.Fatal(r.failure)
	}
	return decode(t, r.result.bytes())
}

// set changes the behaviour of a sidecar.
func (s *fakeSidecar) set(change func(s *fakeSidecar)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// checkStarts fails the test if a task was started more than once across all sidecars. It returns the number of starts.
func checkStarts(t *testing.T, sidecars ...*fakeSidecar) (total int) {
	t.Helper()
	sum := map[string]int{}
	for _, s := range sidecars {
		s.mutex.Lock()
		for id, n := range s.starts {
			sum[id] += n
			total += n
		}
		s.mutex.Unlock()
	}
	for id, n := range sum {
		if n > 1 {
			t.Errorf("%s was started %d times", id, n)
		}
	}
	return total
}
