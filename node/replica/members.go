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

// identifyTimeout limits an Identify call.
const identifyTimeout = 500 * time.Millisecond

// memberChange adds or removes one member.
type memberChange struct {
	// member has no ID if an operator requested the change. The leader then gets the ID from the VM.
	member raft.Member
	remove bool
	// replace allows the member only to replace a member of the same name that is unreachable.
	replace bool
	// join allows the member to become a learner, and to replace a member of the same name that is unreachable.
	join bool
}

// ChangeMember adds or removes a member. Changes are made one at a time. An added VM must be running. The call returns
// once the VM has caught up with the log and votes, or with fault.Unknown if ctx ends before. A VM that lost its data
// folder is added again under the same id. Errors: fault.Unavailable, fault.Unknown, fault.NotFound, fault.Conflict,
// fault.Invalid.
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

// sendChange requests the change from the VM at the address. If that VM is not the leader, sendChange returns
// errNotLeader and the leader's address, if the VM knows it.
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

// changeLocally makes a change on this VM, which must be the leader, and waits until it is complete.
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
			return fault.New(fault.Unknown, "list the members; an added VM votes once it has caught up",
				"the change of member %q is not complete yet", change.member.Name)
		case <-timer.C:
		}
	}
}

// advanceChange takes the next step of a change and reports whether the change is complete.
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
			// A leader does not remove itself. The next leader makes the change, and the caller retries there.
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
			return false, fault.New(fault.Conflict, "stop the other VM, or give this one a different id",
				"member %q is running at %s", member.Name, member.Address)
		}
	}
	if change.replace && !change.join && !hasNamesake {
		return false, fault.New(fault.NotFound, `run "flamingohall members add"`,
			"no member is named %q", change.member.Name)
	}
	return false, g.proposeChange(ctx, change)
}

// proposeChange passes the change to the raft loop. It returns no error if the change has to wait for an earlier one.
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
	case errors.Is(err, raft.ErrNoStorage):
		return errNoStorage()
	case errors.Is(err, raft.ErrLastVoter):
		return fault.New(fault.Invalid, "add another member first", "%v", err)
	}
	return nil
}

// identifyMember gets the identity of the data folder from the VM at the member's address.
func (g *Group) identifyMember(ctx context.Context, change *memberChange) error {
	identity, err := g.identify(ctx, change.member.Address)
	if err != nil {
		return fault.New(fault.Unavailable, "start the VM first, with an empty data folder",
			"the VM at %s does not answer", change.member.Address).WithRetryAfter(time.Second)
	}
	if identity.GetName() != change.member.Name {
		return fault.New(fault.Invalid, "give the id and the address of the same VM",
			"the VM at %s has the id %q", change.member.Address, identity.GetName())
	}
	if group := identity.GetGroup(); group != 0 && group != g.view.Load().Group {
		return fault.New(fault.Conflict, "empty its data folder if that group does not need it",
			"VM %q belongs to another group", identity.GetName())
	}
	change.member.ID = raft.ID(identity.GetReplica())
	return nil
}

func (g *Group) identify(ctx context.Context, address string) (*rpc.IdentifyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	return g.connections.connection(address).client().Identify(ctx, &rpc.IdentifyRequest{})
}

const (
	// bootstrapPeriod is the time between two attempts to create or join a group.
	bootstrapPeriod = 200 * time.Millisecond
	// triesBeforeWarning is the number of attempts after which the VM logs that it is still waiting.
	triesBeforeWarning = 50
)

// bootstrapLoop creates or joins a group. It ends when the data folder belongs to one. With Options.Seeds it continues
// until Stop, so that a VM that was removed while it was down joins again.
func (g *Group) bootstrapLoop(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.prepared:
	}
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

// findGroup creates or joins a group if this VM belongs to none. With seeds it also joins again after a removal.
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

// joinThroughSeeds looks for the group at the seeds and at the members that this VM knows, and asks to join it.
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
		identity, err := g.identify(ctx, address)
		ownGroup := g.view.Load().Group
		if err != nil || identity.GetGroup() == 0 || ownGroup != 0 && ownGroup != identity.GetGroup() {
			continue
		}
		if _, isMember := raftwire.ToConfiguration(identity.GetConfiguration()).Find(g.id); isMember && ownGroup != 0 {
			// This VM is still a member: an election is in progress, or the leader will contact this VM.
			return nil
		}
		return g.join(ctx, address, identity)
	}
	return nil
}

// bootstrap joins the group of an initial member that belongs to one. Otherwise, if all initial members answer, the one
// with the lowest id creates a group. A VM that lost its data folder can't create a second group: it needs the answers
// of all initial members, and one of them belongs to the first group.
func (g *Group) bootstrap(ctx context.Context) error {
	if !g.isInitialMember() {
		return nil
	}
	members := []raft.Member{g.self()}
	mayCreate := true
	for _, other := range g.options.InitialMembers {
		if other.ID == g.options.ID {
			continue
		}
		identity, err := g.identify(ctx, other.Address)
		if err != nil || identity.GetName() != other.ID {
			mayCreate = false
			continue
		}
		if identity.GetGroup() != 0 {
			return g.join(ctx, other.Address, identity)
		}
		members = append(members, raft.Member{
			ID: raft.ID(identity.GetReplica()), Name: other.ID, Address: other.Address, DataCentre: other.DataCentre,
		})
		mayCreate = mayCreate && g.options.ID < other.ID
	}
	if !mayCreate {
		return nil
	}
	events.ReplicaGroupBootstrapped.Log(g.options.Logger, "members", len(members))
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

// join joins the group of the VM at the address. If the group still has its initial configuration and that includes
// this VM, join starts from the initial snapshot. If this VM is not a member, join asks to be added as a learner.
func (g *Group) join(ctx context.Context, address string, identity *rpc.IdentifyResponse) error {
	configuration := raftwire.ToConfiguration(identity.GetConfiguration())
	_, isMember := configuration.Find(g.id)
	switch {
	case isMember && raft.GroupID(configuration) == identity.GetGroup():
		return g.startFrom(ctx, raft.InitialSnapshot(configuration.Members))
	case isMember:
		// The leader has this VM as a member and will contact it.
		return nil
	}
	if !g.joinLogged {
		g.joinLogged = true
		events.ReplicaReplacing.Log(g.options.Logger, "member", g.options.ID)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	// Errors are ignored: the next round tries again.
	change := memberChange{member: g.self(), replace: true, join: len(*g.seeds.Load()) > 0}
	leader, _ := g.sendChange(ctx, address, change)
	if leader != "" {
		_, _ = g.sendChange(ctx, leader, change)
	}
	return nil
}

// startFrom makes the raft loop store the initial snapshot of a group and start a raft.Replica from it.
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
