package systemtest

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"flamingohall.example/node/rpc"
)

var defaultSize = clusterSize{control: 3, entries: 2, workers: 4, slots: 4}

// jobsInFlight is the number of concurrent jobs of a load.
const jobsInFlight = 8

// load submits never-repeated jobs until it is stopped. Each is resubmitted until it is answered.
type load struct {
	t       *testing.T
	apis    []string
	tasks   int
	stop    chan struct{}
	workers sync.WaitGroup
	mutex   sync.Mutex
	jobs    []submission
	answers []answer
}

func startLoad(t *testing.T, apis []string, tasks int) *load {
	l := &load{t: t, apis: apis, tasks: tasks, stop: make(chan struct{})}
	for worker := range jobsInFlight {
		l.workers.Add(1)
		go l.run(worker)
	}
	return l
}

func (l *load) run(worker int) {
	defer l.workers.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		s := newSubmission("charge", fmt.Sprintf("load-%d-%d", worker, n), l.tasks, 40)
		got := postUntilAnswered(l.t, rotate(l.apis, worker), s)
		l.mutex.Lock()
		l.jobs = append(l.jobs, s)
		l.answers = append(l.answers, got)
		l.mutex.Unlock()
	}
}

func rotate(list []string, by int) []string {
	by %= len(list)
	return append(append([]string{}, list[by:]...), list[:by]...)
}

func (l *load) answered() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.answers)
}

// awaitMore waits until count more jobs are answered.
func (l *load) awaitMore(count int) {
	l.t.Helper()
	from := l.answered()
	eventually(l.t, fmt.Sprintf("%d more jobs are answered", count), func() bool {
		return l.answered() >= from+count
	})
}

// finish stops the load and returns its jobs with their answers.
func (l *load) finish() ([]submission, []answer) {
	close(l.stop)
	l.workers.Wait()
	return l.jobs, l.answers
}

func TestSystem_CompleteAnswers(t *testing.T) {
	c := newCluster(t, defaultSize)
	for _, entry := range []string{"check", "charge"} {
		s := newSubmission(entry, "whole-"+entry, 60, 20)
		got, status := post(c.apis[0], s)
		if status != http.StatusOK {
			t.Fatalf("%s: status %d", entry, status)
		}
		requireComplete(t, s, got)
		again, _ := post(c.apis[1], s)
		requireComplete(t, s, again)
	}
	for id, count := range c.starts() {
		if count != 1 {
			t.Logf("task %s started %d times", id, count)
		}
	}
	charged := newSubmission("charge", "whole-charge", 60, 20)
	got, _ := post(c.apis[1], charged)
	requireConsistent(t, charged, got, c.starts())
}

func TestSystem_EntryKilledMidJob(t *testing.T) {
	c := newCluster(t, defaultSize)
	s := newSubmission("charge", "entry-killed", 40, 150)
	first := postAsync(c.apis[0], s)
	eventually(t, "tasks run", func() bool { return len(c.starts()) >= 8 })
	c.entries[0].kill()
	<-first
	killed := time.Now()
	got := postUntilAnswered(t, c.apis[1:], s)
	t.Logf("answered %v after the kill", time.Since(killed))
	requireConsistent(t, s, got, c.starts())
	requireComplete(t, s, got)
}

func TestSystem_EntryFrozenMidJob(t *testing.T) {
	c := newCluster(t, defaultSize)
	s := newSubmission("charge", "entry-frozen", 40, 150)
	first := postAsync(c.apis[0], s)
	eventually(t, "tasks run", func() bool { return len(c.starts()) >= 8 })
	c.entries[0].signal(syscall.SIGSTOP)
	got := postUntilAnswered(t, c.apis[1:], s)
	c.entries[0].signal(syscall.SIGCONT)
	late := <-first
	requireConsistent(t, s, got, c.starts())
	requireComplete(t, s, got)
	if len(late.Tasks) != 0 && late.State == "complete" {
		requireComplete(t, s, late)
	}
}

func TestSystem_SidecarKilledUnderLoad(t *testing.T) {
	c := newCluster(t, defaultSize)
	l := startLoad(t, c.apis, 6)
	l.awaitMore(jobsInFlight)
	for range 3 {
		c.sidecars[1].kill()
		l.awaitMore(jobsInFlight)
		c.sidecars[1].start()
		c.sidecars[1].awaitReady()
		l.awaitMore(jobsInFlight)
	}
	requireLoadConsistent(t, c, l)
}

func TestSystem_ControlLeaderKilledUnderLoad(t *testing.T) {
	c := newCluster(t, defaultSize)
	l := startLoad(t, c.apis, 4)
	l.awaitMore(jobsInFlight)
	for range 3 {
		leader := c.control[c.leader()]
		leader.kill()
		l.awaitMore(jobsInFlight)
		leader.start()
		leader.awaitReady()
	}
	l.awaitMore(jobsInFlight)
	requireLoadConsistent(t, c, l)
}

func TestSystem_ControlLeaderFrozenKeepsCatalogue(t *testing.T) {
	c := newCluster(t, defaultSize)
	frozen := c.control[c.leader()]
	frozen.signal(syscall.SIGSTOP)
	c.applyCatalogue(catalogueText)
	frozen.signal(syscall.SIGCONT)
	eventually(t, "all control VMs have the change", func() bool {
		for i := range c.control {
			got, err := c.operator(i).GetCatalogue(context.Background(), &rpc.GetCatalogueRequest{})
			if err != nil || got.Revision != 2 {
				return false
			}
		}
		return true
	})
}

func TestSystem_AllControlRestartedKeepsCatalogueAndClaims(t *testing.T) {
	c := newCluster(t, defaultSize)
	s := newSubmission("charge", "restart", 10, 20)
	got, _ := post(c.apis[0], s)
	requireComplete(t, s, got)
	for _, p := range c.control {
		p.kill()
	}
	for _, p := range c.control {
		p.start()
	}
	for _, p := range c.control {
		p.awaitReady()
	}
	again := postUntilAnswered(t, c.apis[1:], s)
	requireComplete(t, s, again)
	requireConsistent(t, s, again, c.starts())
	c.awaitRevisionEverywhere(1)
}

// A control VM that lost its data folder rejoins under a new identity. Once it votes again it must hold all data: the
// group then survives the loss of another VM.
func TestSystem_DeletedDataFolderIsRebuilt(t *testing.T) {
	c := newCluster(t, defaultSize)
	lost := (c.leader() + 1) % len(c.control)
	c.control[lost].kill()
	if err := os.RemoveAll(c.dataFolder(lost)); err != nil {
		t.Fatal(err)
	}
	c.control[lost].start()
	c.applyCatalogue(catalogueText)
	eventually(t, "the VM votes again", func() bool { return c.isCaughtUpVoter(lost) })
	c.control[c.leader()].kill()
	c.applyCatalogue(catalogueText)
	c.awaitCatalogueAt(lost, 3)
}

// isCaughtUpVoter reports whether the leader lists the VM as a voter that has all committed log records.
func (c *cluster) isCaughtUpVoter(i int) bool {
	answer, err := c.operator(c.leader()).Members(context.Background(), &rpc.MembersRequest{})
	if err != nil {
		return false
	}
	for _, member := range answer.Members {
		if member.Id == c.control[i].id {
			return !member.Learner && member.MatchIndex >= answer.CommitIndex
		}
	}
	return false
}

func TestSystem_PlannedStopsInterruptNoJob(t *testing.T) {
	c := newCluster(t, defaultSize)
	s := newSubmission("charge", "stop-entry", 24, 100)
	first := postAsync(c.apis[0], s)
	eventually(t, "tasks run", func() bool { return len(c.starts()) >= 4 })
	c.sidecars[0].stop()
	c.control[c.leader()].stop()
	c.entries[0].stop()
	got := <-first
	requireComplete(t, s, got)
	requireConsistent(t, s, got, c.starts())
}

// leader waits until a control VM leads and returns its index.
func (c *cluster) leader() int {
	c.t.Helper()
	leading := -1
	eventually(c.t, "a control VM leads", func() bool {
		for i := range c.control {
			answer, err := c.operator(i).Members(context.Background(), &rpc.MembersRequest{})
			if err == nil && answer.Leader == c.control[i].id {
				leading = i
				return true
			}
		}
		return false
	})
	return leading
}

func (c *cluster) awaitCatalogueAt(i int, revision uint64) {
	c.t.Helper()
	eventually(c.t, fmt.Sprintf("revision %d is at control-%d", revision, i), func() bool {
		got, err := c.operator(i).GetCatalogue(context.Background(), &rpc.GetCatalogueRequest{})
		return err == nil && got.Revision == revision
	})
}

// requireLoadConsistent stops the load and checks each answer against the ledgers.
func requireLoadConsistent(t *testing.T, c *cluster, l *load) {
	t.Helper()
	jobs, answers := l.finish()
	starts := c.starts()
	requireNoDoubleStart(t, starts)
	complete := 0
	for i := range jobs {
		requireConsistent(t, jobs[i], answers[i], starts)
		if answers[i].State == "complete" {
			complete++
		}
	}
	t.Logf("%d jobs answered, %d complete, %d tasks started", len(jobs), complete, len(starts))
}
