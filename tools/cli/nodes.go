package cli

import (
	"context"
	"io"
	"time"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

// node is the JSON output of an entry or a sidecar.
type node struct {
	ID          string `json:"id"`
	Role        string `json:"role"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	Drained     bool   `json:"drained"`
	// Evacuated is true while the node's data centre is evacuated. Drained is then true, too.
	Evacuated bool `json:"evacuated"`
	// RevisionInForce is the catalogue revision that the node last reported to use.
	RevisionInForce uint64 `json:"revision_in_force"`
	// Lags is true when control has accepted a later revision.
	Lags bool `json:"lags"`
	// LastHeardMS is the time since the node's last message to control, in milliseconds.
	LastHeardMS int64   `json:"last_heard_ms"`
	Target      *target `json:"target,omitempty"`
}

// target is what a sidecar reports about its target.
type target struct {
	Worker       string  `json:"worker"`
	Rack         string  `json:"rack"`
	Pool         string  `json:"pool"`
	Slots        uint32  `json:"slots"`
	Cores        float64 `json:"cores"`
	MemoryMB     uint64  `json:"memory_mb"`
	Accelerators uint32  `json:"accelerators"`
}

// nodes is the JSON output of listings of nodes, with the current catalogue revision.
type nodes struct {
	Revision uint64 `json:"revision"`
	Nodes    []node `json:"nodes"`
}

// roleNames maps roles to their names in the output.
var roleNames = map[rpc.Role]string{
	rpc.Role_ROLE_ENTRY:   "entry",
	rpc.Role_ROLE_SIDECAR: "sidecar",
	rpc.Role_ROLE_CONTROL: "control",
}

func readNodes(ctx context.Context, operator *client.Operator) (nodes, error) {
	response, err := client.Call(ctx, operator, &rpc.NodesRequest{}, rpc.Operator.Nodes)
	if err != nil {
		return nodes{}, err
	}
	list := nodes{Revision: response.CatalogueRevision, Nodes: []node{}}
	for _, status := range response.Nodes {
		list.Nodes = append(list.Nodes, newNode(status, response.CatalogueRevision))
	}
	return list, nil
}

func newNode(status *rpc.NodeStatus, current uint64) node {
	record := status.Node
	n := node{
		ID: record.GetId(), Role: roleNames[record.GetRole()], DataCentre: record.GetDataCentre(),
		Address: record.GetAddress(), Incarnation: record.GetIncarnation(),
		Leaving: record.GetLeaving(), Drained: record.GetDrained(), Evacuated: status.Evacuated,
		RevisionInForce: status.RevisionInForce, Lags: status.RevisionInForce < current,
		LastHeardMS: status.LastHeardMs,
	}
	if info := record.GetTarget(); info != nil {
		n.Target = &target{
			Worker: info.Worker, Rack: info.Rack, Pool: info.Pool, Slots: info.Slots,
			Cores: info.Cores, MemoryMB: info.MemoryMb, Accelerators: info.Accelerators,
		}
	}
	return n
}

// state returns whether the node is leaving, evacuated with its data centre, drained or serving.
func (n node) state() string {
	switch {
	case n.Leaving:
		return "leaving"
	case n.Evacuated:
		return "evacuated"
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
	for _, n := range list.Nodes {
		if n.Target != nil {
			targets = append(targets, n)
		}
	}
	if globals.JSON {
		return printJSON(out, targets)
	}
	rows := newTable(out, "TARGET\tSTATE\tPOOL\tDATA CENTRE\tRACK\tWORKER\tSLOTS\tCORES\tMEMORY MB\tHEARD MS AGO\tADDRESS")
	for _, n := range targets {
		info := n.Target
		rows.row("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%g\t%d\t%d\t%s", n.ID, n.state(), info.Pool, n.DataCentre,
			info.Rack, info.Worker, info.Slots, info.Cores, info.MemoryMB, n.LastHeardMS, n.Address)
	}
	return rows.flush()
}

type catalogueStatusCommand struct {
	Wait  bool          `help:"Wait until the current revision is in force at every node."`
	Limit time.Duration `help:"Longest wait." default:"30s"`
}

// statusPoll is the period at which catalogue status --wait asks control again.
const statusPoll = 100 * time.Millisecond

// Run lists the nodes with their revisions. With --wait it fails if a node still lags after the limit.
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
		return fault.New(fault.Internal, "check the nodes that lag", "%d nodes still lag after %s", lagging, c.Limit)
	}
	return nil
}

// read returns the nodes. With --wait it returns once no node lags or the limit has passed.
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

// lagging returns the number of nodes that use an older revision.
func (n nodes) lagging() int {
	count := 0
	for _, status := range n.Nodes {
		if status.Lags {
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
	for _, n := range list.Nodes {
		lags := ""
		if n.Lags {
			lags = "lags"
		}
		rows.row("%s\t%s\t%s\t%d\t%d\t%s\t%d", n.ID, n.Role, n.DataCentre,
			n.RevisionInForce, list.Revision, lags, n.LastHeardMS)
	}
	return rows.flush()
}
