package cli

import (
	"context"
	"io"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

// node is an entry or a sidecar as the listings print it.
type node struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Drained     bool   `json:"drained"`
	// RevisionInForce is the catalogue revision that the node last said it uses.
	RevisionInForce uint64 `json:"revision_in_force"`
	// Lags tells that a later revision has been accepted.
	Lags bool `json:"lags"`
	// LastHeardMS is the time since the node's last message, in milliseconds.
	LastHeardMS int64   `json:"last_heard_ms"`
	Target      *target `json:"target,omitempty"`
}

// target is what a sidecar announces of its target.
type target struct {
	Worker       string  `json:"worker"`
	Rack         string  `json:"rack"`
	Pool         string  `json:"pool"`
	Slots        uint32  `json:"slots"`
	Cores        float64 `json:"cores"`
	MemoryMB     uint64  `json:"memory_mb"`
	Accelerators uint32  `json:"accelerators"`
}

// nodes is the answer to all listings of nodes.
type nodes struct {
	Revision uint64 `json:"revision"`
	Nodes    []node `json:"nodes"`
}

// roleNames are the roles as the listings print them.
var roleNames = map[rpc.Role]string{
	rpc.Role_ROLE_ENTRY:   "entry",
	rpc.Role_ROLE_SIDECAR: "sidecar",
	rpc.Role_ROLE_CONTROL: "control",
}

func readNodes(ctx context.Context, operator *client.Operator) (nodes, error) {
	found, err := client.Call(ctx, operator, &rpc.NodesRequest{}, rpc.Operator.Nodes)
	if err != nil {
		return nodes{}, err
	}
	list := nodes{Revision: found.CatalogueRevision, Nodes: []node{}}
	for _, status := range found.Nodes {
		list.Nodes = append(list.Nodes, newNode(status, found.CatalogueRevision))
	}
	return list, nil
}

func newNode(status *rpc.NodeStatus, current uint64) node {
	record := status.Node
	made := node{
		ID: record.GetId(), Role: roleNames[record.GetRole()], DataCentre: record.GetDataCentre(),
		Address: record.GetAddress(), Incarnation: record.GetIncarnation(),
		Leaving: record.GetLeaving(), Drained: record.GetDrained(),
		RevisionInForce: status.RevisionInForce, Lags: status.RevisionInForce < current,
		LastHeardMS: status.LastHeardMs,
	}
	if info := record.GetTarget(); info != nil {
		made.Target = &target{
			Worker: info.Worker, Rack: info.Rack, Pool: info.Pool, Slots: info.Slots,
			Cores: info.Cores, MemoryMB: info.MemoryMb, Accelerators: info.Accelerators,
		}
	}
	return made
}

// state says in a word what the node is up to.
func (n node) state() string {
	switch {
	case n.Leaving:
		return "leaving"
	case n.Drained:
		return "drained"
	}
	return "serving"
}

type targetsCommand struct{}

// Run lists the targets.
func (targetsCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	list, err := readNodes(ctx, operator)
	if err != nil {
		return err
	}
	targets := []node{}
	for _, found := range list.Nodes {
		if found.Target != nil {
			targets = append(targets, found)
		}
	}
	if globals.JSON {
		return printJSON(out, targets)
	}
	rows := newTable(out, "TARGET\tSTATE\tPOOL\tDATA CENTRE\tRACK\tWORKER\tSLOTS\tCORES\tMEMORY MB\tHEARD MS AGO\tADDRESS")
	for _, found := range targets {
		info := found.Target
		rows.row("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%g\t%d\t%d\t%s", found.ID, found.state(), info.Pool, found.DataCentre,
			info.Rack, info.Worker, info.Slots, info.Cores, info.MemoryMB, found.LastHeardMS, found.Address)
	}
	return rows.flush()
}

type catalogueStatusCommand struct {
	Wait  bool          `help:"Wait until the current revision is in force at every node."`
	Limit time.Duration `help:"Longest wait." default:"30s"`
}

// statusPoll is the period at which a waiting status asks again.
const statusPoll = 100 * time.Millisecond

// Run lists the nodes and their revisions.
func (c *catalogueStatusCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	list, err := c.read(ctx, operator)
	if err != nil {
		return err
	}
	if err := printRevisions(out, globals, list); err != nil {
		return err
	}
	if lagging := list.lagging(); c.Wait && lagging > 0 {
		return fault.New(fault.Internal, "look at the nodes that lag", "%d nodes lag after %s", lagging, c.Limit)
	}
	return nil
}

// read returns the nodes, with --wait once none lags or the limit has passed.
func (c *catalogueStatusCommand) read(ctx context.Context, operator *client.Operator) (nodes, error) {
	limit := time.After(c.Limit)
	ticker := time.NewTicker(statusPoll)
	defer ticker.Stop()
	for {
		list, err := readNodes(ctx, operator)
		if err != nil || !c.Wait || list.lagging() == 0 {
			return list, err
		}
		select {
		case <-ctx.Done():
			return list, nil
		case <-limit:
			return list, nil
		case <-ticker.C:
		}
	}
}

// lagging counts the nodes that use an older revision.
func (n nodes) lagging() int {
	count := 0
	for _, found := range n.Nodes {
		if found.Lags {
			count++
		}
	}
	return count
}

func printRevisions(out io.Writer, globals *Globals, list nodes) error {
	if globals.JSON {
		return printJSON(out, list)
	}
	rows := newTable(out, "NODE\tROLE\tDATA CENTRE\tIN FORCE\tCURRENT\tLAGS\tHEARD MS AGO")
	for _, found := range list.Nodes {
		lags := ""
		if found.Lags {
			lags = "lags"
		}
		rows.row("%s\t%s\t%s\t%d\t%d\t%s\t%d", found.ID, found.Role, found.DataCentre,
			found.RevisionInForce, list.Revision, lags, found.LastHeardMS)
	}
	return rows.flush()
}
