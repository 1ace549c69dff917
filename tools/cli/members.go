package cli

import (
	"context"
	"crypto/rand"
	"io"

	"flamingohall.example/node/rpc"
	"flamingohall.example/tools/client"
)

type membersCommand struct {
	List   membersListCommand   `cmd:"" default:"1" help:"List the control VMs."`
	Add    membersAddCommand    `cmd:"" help:"Add a control VM; it votes once it has caught up."`
	Remove membersRemoveCommand `cmd:"" help:"Remove a control VM for good."`
}

// members is the JSON output of the control group.
type members struct {
	Leader      string   `json:"leader"`
	Term        uint64   `json:"term"`
	CommitIndex uint64   `json:"commit_index"`
	Members     []member `json:"members"`
}

// member is one control VM of the group.
type member struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Learner is true while the VM has no vote.
	Learner bool `json:"learner"`
	// MatchIndex is the index of the last log record that the leader knows to be stored on the VM.
	MatchIndex uint64 `json:"match_index"`
}

func newMembers(list []*rpc.Member) []member {
	converted := []member{}
	for _, m := range list {
		converted = append(converted, member{
			ID: m.Id, Address: m.Address, DataCentre: m.DataCentre,
			Learner: m.Learner, MatchIndex: m.MatchIndex,
		})
	}
	return converted
}

type membersListCommand struct{}

// Run lists the control VMs.
func (membersListCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	response, err := client.Call(ctx, operator, &rpc.MembersRequest{}, rpc.Operator.Members)
	if err != nil {
		return err
	}
	return printMembers(out, globals, members{
		Leader: response.Leader, Term: response.Term, CommitIndex: response.CommitIndex,
		Members: newMembers(response.Members),
	})
}

func printMembers(out io.Writer, globals *Globals, list members) error {
	if globals.JSON {
		return printJSON(out, list)
	}
	rows := newTable(out, "MEMBER\tADDRESS\tDATA CENTRE\tVOTE\tLEADER\tSTORED\tCOMMITTED")
	for _, m := range list.Members {
		vote, leader := "voter", ""
		if m.Learner {
			vote = "learner"
		}
		if m.ID == list.Leader {
			leader = "leader"
		}
		rows.row("%s\t%s\t%s\t%s\t%s\t%d\t%d", m.ID, m.Address, m.DataCentre, vote, leader,
			m.MatchIndex, list.CommitIndex)
	}
	return rows.flush()
}

type membersAddCommand struct {
	ID         string `arg:"" help:"Node id of the new VM; never one that was used before."`
	Address    string `arg:"" help:"Its host:port for other processes."`
	DataCentre string `arg:"" help:"Its data centre."`
	ChangeID   string `help:"Id of the change; a resend with the same id changes nothing more. Random by default." placeholder:"ID"`
}

// Run adds the control VM and lists the group.
func (c *membersAddCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	added := &rpc.Member{Id: c.ID, Address: c.Address, DataCentre: c.DataCentre}
	return changeMember(ctx, globals, out, &rpc.ChangeMemberRequest{ChangeId: c.ChangeID, Member: added})
}

type membersRemoveCommand struct {
	ID       string `arg:"" help:"Node id of the VM."`
	ChangeID string `help:"Id of the change; a resend with the same id changes nothing more. Random by default." placeholder:"ID"`
}

// Run removes the control VM and lists the group.
func (c *membersRemoveCommand) Run(ctx context.Context, globals *Globals, out io.Writer) error {
	removed := &rpc.Member{Id: c.ID}
	request := &rpc.ChangeMemberRequest{ChangeId: c.ChangeID, Member: removed, Remove: true}
	return changeMember(ctx, globals, out, request)
}

func changeMember(ctx context.Context, globals *Globals, out io.Writer, request *rpc.ChangeMemberRequest) error {
	operator, err := globals.operator()
	if err != nil {
		return err
	}
	if request.ChangeId == "" {
		request.ChangeId = rand.Text()
	}
	if _, err := client.Call(ctx, operator, request, rpc.Operator.ChangeMember); err != nil {
		return err
	}
	return membersListCommand{}.Run(ctx, globals, out)
}
