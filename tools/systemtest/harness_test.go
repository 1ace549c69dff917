package systemtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"flamingohall.example/node/rpc"
)

// eventuallyTimeout bounds the wait for a condition. It is generous, since no test asserts how fast the system is.
const eventuallyTimeout = 60 * time.Second

// pollPeriod is the period at which a condition is checked.
const pollPeriod = 20 * time.Millisecond

var daemonPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "flamingohall-systemtest")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	daemonPath = filepath.Join(folder, "flamingohalld")
	build := exec.Command("go", "build", "-o", daemonPath, "flamingohall.example/node/cmd/flamingohalld")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	return m.Run()
}

// process is a flamingohalld process started by a test.
type process struct {
	t        *testing.T
	id       string
	settings string
	address  string
	command  *exec.Cmd
	exited   chan struct{}
}

func (p *process) start() {
	p.t.Helper()
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	p.command = exec.Command(daemonPath, "run", p.settings)
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	go func(command *exec.Cmd) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(p.command)
}

func (p *process) signal(sig syscall.Signal) {
	_ = p.command.Process.Signal(sig)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM for a planned stop and requires exit code 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(eventuallyTimeout):
		p.t.Fatalf("%s still runs after SIGTERM", p.id)
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s: planned stop ended with %d, log %s", p.id, code, p.settings+".log")
	}
}

func (p *process) awaitReady() {
	p.t.Helper()
	eventually(p.t, p.id+" is ready", func() bool {
		response, err := http.Get("http://" + p.address + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually waits until a condition is true and fails the test after eventuallyTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(pollPeriod)
	}
}

// cluster is a complete system: control VMs, entries, and sidecars with their stand-in targets.
type cluster struct {
	t        *testing.T
	folder   string
	control  []*process
	entries  []*process
	sidecars []*process
	targets  []*process
	apis     []string
}

// clusterSize is the number of processes of each role and of slots of each worker.
type clusterSize struct {
	control, entries, workers, slots int
}

func newCluster(t *testing.T, size clusterSize) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir()}
	t.Cleanup(c.close)
	controlAddresses := freeAddresses(t, size.control)
	for i := range size.control {
		c.addControl(i, controlAddresses)
	}
	for i := range size.workers {
		c.addWorker(i, size.slots, controlAddresses)
	}
	for i := range size.entries {
		c.addEntry(i, controlAddresses)
	}
	for _, p := range c.all() {
		p.awaitReady()
	}
	c.applyCatalogue(catalogueText)
	c.awaitRevisionEverywhere(1)
	return c
}

func (c *cluster) all() []*process {
	all := append([]*process{}, c.entries...)
	all = append(all, c.sidecars...)
	all = append(all, c.targets...)
	return append(all, c.control...)
}

// close kills all processes and, if the test failed, keeps their logs and data.
func (c *cluster) close() {
	for _, p := range c.all() {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	if c.t.Failed() {
		kept, err := os.MkdirTemp("", "flamingohall-failed")
		if err == nil && os.CopyFS(kept, os.DirFS(c.folder)) == nil {
			c.t.Logf("logs and data are kept in %s", kept)
		}
	}
}

func (c *cluster) launch(id, address string, sections map[string]any) *process {
	c.t.Helper()
	sections["node"] = map[string]any{
		"id": id, "data_centre": "local", "listen": address, "balancer_grace_ms": 300, "stop_grace_ms": 20000,
	}
	text, err := json.Marshal(sections)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{t: c.t, id: id, address: address, settings: filepath.Join(c.folder, id+".jsonc")}
	if err := os.WriteFile(p.settings, text, 0o600); err != nil {
		c.t.Fatal(err)
	}
	p.start()
	return p
}

func (c *cluster) dataFolder(i int) string {
	return filepath.Join(c.folder, fmt.Sprintf("control-%d.data", i))
}

func (c *cluster) addControl(i int, addresses []string) {
	members := []map[string]any{}
	for j, address := range addresses {
		members = append(members, map[string]any{
			"id": fmt.Sprintf("control-%d", j), "address": address, "data_centre": "local",
		})
	}
	c.control = append(c.control, c.launch(fmt.Sprintf("control-%d", i), addresses[i], map[string]any{
		"control": map[string]any{"data_folder": c.dataFolder(i), "initial_members": members},
	}))
}

func (c *cluster) ledgerPath(i int) string {
	return filepath.Join(c.folder, fmt.Sprintf("ledger-%d.jsonl", i))
}

func (c *cluster) addWorker(i, slots int, control []string) {
	addresses := freeAddresses(c.t, 3)
	c.targets = append(c.targets, c.launch(fmt.Sprintf("target-%d", i), addresses[0], map[string]any{
		"stand_in": map[string]any{"listen": addresses[1], "slots": slots, "ledger": c.ledgerPath(i)},
	}))
	c.sidecars = append(c.sidecars, c.launch(fmt.Sprintf("worker-%d", i), addresses[2], map[string]any{
		"control_addresses": control,
		"sidecar": map[string]any{
			"target_url": "http://" + addresses[1], "pool": "test", "slots": slots,
			// If this variable is set, the sidecars record traces into the folder that it names.
			"trace_folder": os.Getenv("FLAMINGOHALL_TRACES"),
		},
	}))
}

func (c *cluster) addEntry(i int, control []string) {
	addresses := freeAddresses(c.t, 2)
	c.entries = append(c.entries, c.launch(fmt.Sprintf("entry-%d", i), addresses[0], map[string]any{
		"control_addresses": control, "entry": map[string]any{"callers_listen": addresses[1]},
	}))
	c.apis = append(c.apis, "http://"+addresses[1])
}

// Ports of the processes. The kernel gives those from 32768 on to outgoing connections of any process, so that one chosen there
// may be taken before the process listens.
const (
	firstPort = 12000
	lastPort  = 31999
	// maxPortTries bounds the search for a free port.
	maxPortTries = 1000
)

// given holds the ports given out so far: until its process listens, a port is still free and could be given out again.
var given sync.Map

// freeAddresses returns loopback addresses with ports that were free when it was called and were not given out before.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, 0, count)
	for try := 0; len(addresses) < count; try++ {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		if _, isGiven := given.LoadOrStore(port, true); isGiven && try < maxPortTries {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil && try < maxPortTries {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses = append(addresses, address)
	}
	return addresses
}

const catalogueText = `{
  "owners": [{"name": "team", "weight": 1}],
  "entries": [
    {"name": "check", "owner": "team", "class": "repeatable", "pool": "test", "expected_run_ms": 50,
     "deadline_ms": 30000, "objective": {"latency_ms": 1000, "ratio": 0.99}},
    {"name": "charge", "owner": "team", "class": "never_repeated", "pool": "test", "expected_run_ms": 50,
     "deadline_ms": 30000, "objective": {"latency_ms": 1000, "ratio": 0.99}},
  ],
}`

// operator returns a client of the control VM with that index.
func (c *cluster) operator(i int) rpc.Operator {
	return rpc.NewOperatorProtobufClient("http://"+c.control[i].address, &http.Client{Timeout: 5 * time.Second})
}

// applyCatalogue applies the text as a change to the current revision, at any control VM that answers.
func (c *cluster) applyCatalogue(text string) {
	c.t.Helper()
	changeID := fmt.Sprintf("change-%d", time.Now().UnixNano())
	eventually(c.t, "the catalogue is applied", func() bool {
		for i := range c.control {
			if c.applyAt(i, changeID, text) {
				return true
			}
		}
		return false
	})
}

func (c *cluster) applyAt(i int, changeID, text string) bool {
	ctx := context.Background()
	current, err := c.operator(i).GetCatalogue(ctx, &rpc.GetCatalogueRequest{})
	if err != nil {
		return false
	}
	answer, err := c.operator(i).ApplyCatalogue(ctx, &rpc.ApplyCatalogueRequest{
		ChangeId: changeID, BaseRevision: current.Revision, Document: []byte(text), Author: "systemtest",
	})
	return err == nil && answer.Applied
}

func (c *cluster) awaitRevisionEverywhere(revision uint64) {
	c.t.Helper()
	want := len(c.entries) + len(c.sidecars)
	eventually(c.t, fmt.Sprintf("revision %d is in force at %d nodes", revision, want), func() bool {
		answer, err := c.operator(0).Nodes(context.Background(), &rpc.NodesRequest{})
		if err != nil {
			return false
		}
		inForce := 0
		for _, node := range answer.Nodes {
			if node.RevisionInForce >= revision {
				inForce++
			}
		}
		return inForce >= want
	})
}

// ledgerLine is a start as recorded in the ledger of a stand-in target.
type ledgerLine struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// starts counts the starts of each task over all stand-in targets.
func (c *cluster) starts() map[string]int {
	c.t.Helper()
	counts := map[string]int{}
	for i := range c.targets {
		text, err := os.ReadFile(c.ledgerPath(i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			c.t.Fatal(err)
		}
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			var entry ledgerLine
			if line != "" && json.Unmarshal([]byte(line), &entry) == nil {
				counts[entry.Task]++
			}
		}
	}
	return counts
}
