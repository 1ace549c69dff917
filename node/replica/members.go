package replica

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/raft"
	"flamingohall.example/node/events"
	"flamingohall.example/node/raftwire"
	"flamingohall.example/node/rpc"
	"flamingohall.example/node/settings"
)

// identifyTimeout bounds the question who answers at an address.
const identifyTimeout = 500 * time.Millisecond

// memberChange is one change of members.
type memberChange struct {
	// member has no ID when an operator asks; the leader then asks the VM for it.
	member raft.Member
	remove bool
	// replace lets the member take the place of a silent one of the same name, and of no other.
	replace bool
	// join lets the member become a learner, in the place of a silent one of the same name if there is one.
	join bool
}

// ChangeMember adds or removes a member, one at a time. An added VM must run; it learns the log and the call returns
// once it counts, or with fault.Unknown while it still catches up when ctx ends. A VM that lost its data folder is added
// again under the same id. Errors: fault.Unavailable, fault.Unknown, fault.NotFound, fault.Conflict, fault.Invalid.
func (g *Group) ChangeMember(ctx context.Context, m settings.Member, remove bool) error {
	change := memberChange{
		member: raft.Member{Name: m.ID, Address: m.Address, DataCentre: m.DataCentre}, remove: remove,
	}
	for {
		changed := g.changed.wait()
		err := g.changeAtLeader(ctx, change)
		if !errors.Is(err, errNotLeader) {
			return err
		}
		if err := g.waitForRetry(ctx, changed); err != nil {
			return err
		}
	}
}

func (g *Group) changeAtLeader(ctx context.Context, change memberChange) error {
	status := g.Status()
	if status.IsLeader {
		return g.changeLocally(ctx, change)
	}
	if status.LeaderAddress == "" {
		return errNotLeader
	}
	_, err := g.sendChange(ctx, status.LeaderAddress, change)
	return err
}

// sendChange asks the VM at the address for the change. One that does not lead names the leader's address.
func (g *Group) sendChange(ctx context.Context, address string, change memberChange) (leader string, err error) {
	response, err := g.connections.connection(address).client().ChangeReplica(ctx, &rpc.ChangeReplicaRequest{
		Member: raftwire.Member(change.member), Remove: change.remove, Replace: change.replace, Join: change.join,
	})
	switch {
	case isDialError(err):
		return "", errNotLeader
	case err != nil:
		return "", fromTwirp(err)
	case !response.GetChanged():
		return response.GetLeader(), errNotLeader
	}
	return "", nil
}

// changeLocally carries a change out on the leader and waits until it is whole.
func (g *Group) changeLocally(ctx context.Context, change memberChange) error {
	if !g.Status().IsLeader {
		return errNotLeader
	}
	for {
		done, err := g.advanceChange(ctx, &change)
		if err != nil || done {
			return err
		}
		timer := time.NewTimer(retryInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return fault.New(fault.Unknown, "look at the members; an added VM counts once it has caught up",
				"the change of member %q is not whole yet", change.member.Name)
		case <-timer.C:
		}
	}
}

// advanceChange does what the change lacks and reports whether it is whole.
func (g *Group) advanceChange(ctx context.Context, change *memberChange) (done bool, err error) {
	view := g.view.Load()
	if view.Role != raft.Leader {
		return false, errNotLeader
	}
	isCommitted := view.Commit >= view.ConfigurationIndex
	if change.remove {
		return g.advanceRemoval(ctx, change, view, isCommitted)
	}
	if change.member.ID == raft.None {
		if err := g.identifyMember(ctx, change); err != nil {
			return false, err
		}
	}
	return g.advanceAddition(ctx, change, view, isCommitted)
}

func (g *Group) advanceRemoval(
	ctx context.Context, change *memberChange, view *raft.Status, isCommitted bool,
) (bool, error) {
	for _, member := range view.Members {
		if member.Name != change.member.Name {
			continue
		}
		change.member.ID = member.ID
		if member.ID == g.id && len(view.Members) > 1 {
			// The next leader removes this one, and answers the caller.
			g.put(ctx, input{transfer: true})
			return false, nil
		}
		return false, g.proposeChange(ctx, change)
	}
	if change.member.ID == raft.None {
		return false, fault.New(fault.NotFound, "list the members", "no member is named %q", change.member.Name)
	}
	return isCommitted, nil
}

func (g *Group) advanceAddition(
	ctx context.Context, change *memberChange, view *raft.Status, isCommitted bool,
) (bool, error) {
	hasNamesake := false
	for _, member := range view.Members {
		if member.ID == change.member.ID {
			return isCommitted && (!member.Learner || change.replace || change.join), nil
		}
		if member.Name != change.member.Name {
			continue
		}
		hasNamesake = true
		if member.IsActive && !member.Learner {
			return false, fault.New(fault.Conflict, "stop the other VM or give this one an id of its own",
				"member %q is alive at %s", member.Name, member.Address)
		}
	}
	if change.replace && !change.join && !hasNamesake {
		return false, fault.New(fault.NotFound, `run "flamingohall members add"`,
			"no member is named %q", change.member.Name)
	}
	return false, g.proposeChange(ctx, change)
}

// proposeChange hands the change to the raft loop. A change that must wait for an earlier one is no error.
func (g *Group) proposeChange(ctx context.Context, change *memberChange) error {
	request := &changeRequest{member: change.member, remove: change.remove, result: make(chan error, 1)}
	if !g.put(ctx, input{change: request}) {
		return errNotLeader
	}
	var err error
	select {
	case err = <-request.result:
	case <-g.ended:
		return errNotLeader
	case <-ctx.Done():
		return errOutcomeUnknown()
	}
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrTransferInProgress):
		return errNotLeader
	case errors.Is(err, raft.ErrLastVoter):
		return fault.New(fault.Invalid, "add another member first", "%v", err)
	}
	return nil
}

// identifyMember asks the VM at the member's address for the identity of its data folder.
func (g *Group) identifyMember(ctx context.Context, change *memberChange) error {
	found, err := g.identify(ctx, change.member.Address)
	if err != nil {
		return fault.New(fault.Unavailable, "start the VM first, with an empty data folder",
			"no answer from %s", change.member.Address).WithRetryAfter(time.Second)
	}
	if found.GetName() != change.member.Name {
		return fault.New(fault.Invalid, "give the id and the address of the same VM",
			"the VM at %s is %q", change.member.Address, found.GetName())
	}
	if group := found.GetGroup(); group != 0 && group != g.view.Load().Group {
		return fault.New(fault.Conflict, "empty its data folder if it is no longer needed there",
			"VM %q belongs to another group", found.GetName())
	}
	change.member.ID = raft.ID(found.GetReplica())
	return nil
}

func (g *Group) identify(ctx context.Context, address string) (*rpc.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	return g.connections.connection(address).client().Identify(ctx, &rpc.IdentifyRequest{})
}

const (
	// bootstrapPeriod is the pause between two tries to found or join a group.
	bootstrapPeriod = 200 * time.Millisecond
	// triesBeforeWarning is how many tries pass before the log says so.
	triesBeforeWarning = 50
)

// bootstrapLoop runs until the data folder belongs to a group and, with Options.Seeds, as long as the process: a VM that
// was removed while it was away joins again.
func (g *Group) bootstrapLoop(ctx context.Context) {
	for tries := 1; g.view.Load().Group == 0 || len(*g.seeds.Load()) > 0; tries++ {
		if err := g.findGroup(ctx); err != nil {
			g.failWith(err)
			return
		}
		if tries == triesBeforeWarning && g.view.Load().Group == 0 {
			events.ReplicaWaiting.Log(g.options.Logger)
		}
		timer := time.NewTimer(bootstrapPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// findGroup founds or joins a group if this VM belongs to none, and joins again if it was removed.
func (g *Group) findGroup(ctx context.Context) error {
	if g.view.Load().Group == 0 {
		if err := g.bootstrap(ctx); err != nil || g.isInitialMember() {
			return err
		}
	}
	if len(*g.seeds.Load()) == 0 || g.Status().Leader != "" {
		return nil
	}
	return g.joinThroughSeeds(ctx)
}

// joinThroughSeeds asks the seeds, and the members that this VM knows, for the group.
func (g *Group) joinThroughSeeds(ctx context.Context) error {
	addresses := slices.Clone(*g.seeds.Load())
	for _, member := range g.view.Load().Members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	for _, address := range slices.Compact(addresses) {
		if address == g.options.Address {
			continue
		}
		found, err := g.identify(ctx, address)
		own := g.view.Load().Group
		if err != nil || found.GetGroup() == 0 || own != 0 && own != found.GetGroup() {
			continue
		}
		if _, isMember := raftwire.ToConfiguration(found.GetConfiguration()).Find(g.id); isMember && own != 0 {
			// The leader knows this VM, and an election is under way or this VM will hear of it.
			return nil
		}
		return g.join(ctx, address, found)
	}
	return nil
}

// bootstrap founds a group when every initial member answers that it has none, and joins the group when one has. A VM
// that lost its data folder therefore never founds a second group: somebody it needs belongs to the first.
func (g *Group) bootstrap(ctx context.Context) error {
	if !g.isInitialMember() {
		return nil
	}
	members := []raft.Member{g.self()}
	isFirst := true
	for _, other := range g.options.InitialMembers {
		if other.ID == g.options.ID {
			continue
		}
		found, err := g.identify(ctx, other.Address)
		if err != nil || found.GetName() != other.ID {
			isFirst = false
			continue
		}
		if found.GetGroup() != 0 {
			return g.join(ctx, other.Address, found)
		}
		members = append(members, raft.Member{
			ID: raft.ID(found.GetReplica()), Name: other.ID, Address: other.Address, DataCentre: other.DataCentre,
		})
		isFirst = isFirst && g.options.ID < other.ID
	}
	if !isFirst {
		return nil
	}
	events.ReplicaGroupFounded.Log(g.options.Logger, "members", len(members))
	return g.startFrom(ctx, raft.InitialSnapshot(members))
}

func (g *Group) isInitialMember() bool {
	for _, member := range g.options.InitialMembers {
		if member.ID == g.options.ID {
			return true
		}
	}
	return false
}

func (g *Group) self() raft.Member {
	return raft.Member{
		ID: g.id, Name: g.options.ID, Address: g.options.Address, DataCentre: g.options.DataCentre,
	}
}

// join takes part in the group of another member: from its first snapshot as a founder, else as a learner.
func (g *Group) join(ctx context.Context, address string, found *rpc.IdentifyResponse) error {
	configuration := raftwire.ToConfiguration(found.GetConfiguration())
	_, isMember := configuration.Find(g.id)
	switch {
	case isMember && raft.GroupID(configuration) == found.GetGroup():
		return g.startFrom(ctx, raft.InitialSnapshot(configuration.Members))
	case isMember:
		// The leader knows this VM and writes to it.
		return nil
	}
	if !g.joinLogged {
		g.joinLogged = true
		events.ReplicaReplacing.Log(g.options.Logger, "member", g.options.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// Any refusal leaves this VM waiting; the next round tries again.
	change := memberChange{member: g.self(), replace: true, join: len(*g.seeds.Load()) > 0}
	leader, _ := g.sendChange(ctx, address, change)
	if leader != "" {
		_, _ = g.sendChange(ctx, leader, change)
	}
	return nil
}

// startFrom stores the first snapshot of a group and starts the state machine from it.
func (g *Group) startFrom(ctx context.Context, snapshot raft.Snapshot) error {
	request := &createRequest{
		group: raft.GroupID(snapshot.Configuration), snapshot: snapshot, result: make(chan error, 1),
	}
	if !g.put(ctx, input{create: request}) {
		return nil
	}
	select {
	case err := <-request.result:
		return err
	case <-g.ended:
		return nil
	}
}
