package raft

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

// simulation runs replicas in memory with a faulty network and faulty disks, and checks the invariants after each step.
// It reports a violation through fail.
type simulation struct {
	fail     func(format string, args ...any)
	random   *rand.Rand
	adjust   func(*Config)
	nodes    []*simNode
	byID     map[ID]*simNode
	inFlight []Message
	// blockedLinks holds the one-way links, from and to, that drop all messages.
	blockedLinks map[[2]ID]bool
	nextID       ID
	// lostDisks holds the IDs whose disk was lost.
	lostDisks map[ID]bool

	leaders       map[uint64]ID
	entryContents map[[2]uint64]string
	committed     map[uint64]Entry
	appliedHashes map[uint64]uint64
	maxCommit     uint64
	proposals     int
	minReadIndex  map[uint64]uint64
	nextRead      uint64
	// maxDelivered, if set, removes entries with a larger index from messages in directed simulations.
	maxDelivered uint64

	elections, confirmed, replaced, restored int
}

// simNode is one VM: its disk, the Readys that it has not synced, and its application, a running hash of the applied
// entries.
type simNode struct {
	member  Member
	disk    Restart
	pending []Ready
	replica *Replica
	// storage says whether the disk takes writes. The replica learns it with the next sync.
	storage StorageState
	applied uint64
	hash    uint64
	commit  uint64
}

type simState struct{ Index, Hash uint64 }

const (
	simElectionTicks  = 10
	simHeartbeatTicks = 2
)

func newSimulation(size int, seed uint64, fail func(string, ...any)) *simulation {
	s := &simulation{
		fail: fail, random: rand.New(rand.NewPCG(seed, 1)), byID: map[ID]*simNode{}, blockedLinks: map[[2]ID]bool{},
		lostDisks: map[ID]bool{}, leaders: map[uint64]ID{}, entryContents: map[[2]uint64]string{},
		committed: map[uint64]Entry{}, appliedHashes: map[uint64]uint64{1: 0}, minReadIndex: map[uint64]uint64{},
		maxCommit: 1, adjust: func(*Config) {},
	}
	var members []Member
	for i := range size {
		members = append(members, s.addNode(fmt.Sprintf("vm-%d", i)).member)
	}
	genesis := InitialSnapshot(members)
	for _, n := range s.nodes {
		first := genesis
		n.disk = Restart{
			HardState: HardState{Group: GroupID(genesis.Configuration), Term: 1}, Snapshot: &first,
		}
	}
	return s
}

func (s *simulation) addNode(name string) *simNode {
	s.nextID++
	n := &simNode{member: Member{ID: s.nextID, Name: name}}
	s.nodes = append(s.nodes, n)
	s.byID[n.member.ID] = n
	return n
}

func (s *simulation) startAll() {
	for _, n := range s.nodes {
		s.start(n)
	}
}

func (s *simulation) start(n *simNode) {
	if n.replica != nil {
		return
	}
	config := Config{
		ID: n.member.ID, ElectionTicks: simElectionTicks, HeartbeatTicks: simHeartbeatTicks,
		Seed: s.random.Uint64(), MaxAppendBytes: 200, MaxInflight: 4, ChunkBytes: 10, KeepEntries: 3, KeepBytes: 200,
	}
	s.adjust(&config)
	restart := n.disk
	restart.Entries = slices.Clone(n.disk.Entries)
	replica, err := New(config, restart)
	if err != nil {
		s.fail("start: %v", err)
	}
	n.replica, n.pending, n.applied, n.hash, n.commit = replica, nil, 0, 0, 0
	if restart.Snapshot != nil {
		s.restore(n, restart.Snapshot)
	}
	s.processReady(n)
}

// crash stops the node. A random prefix of the unsynced data has reached the disk.
func (s *simulation) crash(n *simNode) {
	if n.replica == nil {
		return
	}
	for _, ready := range n.pending[:s.random.IntN(len(n.pending)+1)] {
		n.write(&ready)
	}
	n.replica, n.pending = nil, nil
}

// loseDisk crashes the node permanently and starts one of the same name with an empty disk.
func (s *simulation) loseDisk(n *simNode) {
	s.crash(n)
	s.lostDisks[n.member.ID] = true
	delete(s.byID, n.member.ID)
	s.nodes = slices.DeleteFunc(s.nodes, func(other *simNode) bool { return other == n })
	s.start(s.addNode(n.member.Name))
	s.replaced++
}

// canLoseDisk reports whether the group has recovered from the last lost disk: no voter of a configuration that is or
// may come into force has lost its disk, and the learners have been promoted. A group of two never tolerates the loss.
func (s *simulation) canLoseDisk() bool {
	if len(s.nodes) < 3 {
		return false
	}
	var latest *Configuration
	for index := s.maxCommit; index > 0 && latest == nil; index-- {
		latest = s.committed[index].Configuration
	}
	configurations := []Configuration{}
	if latest != nil {
		configurations = append(configurations, *latest)
	}
	for _, n := range s.nodes {
		if n.replica != nil && n.replica.log.configurationIndex() >= s.maxCommit {
			configurations = append(configurations, n.replica.log.configuration())
		}
	}
	for _, configuration := range configurations {
		if len(configuration.Voters()) != len(s.nodes) {
			return false
		}
		for _, voter := range configuration.Voters() {
			if s.lostDisks[voter] {
				return false
			}
		}
	}
	return latest != nil || len(s.lostDisks) == 0
}

// write stores a Ready on the disk.
func (n *simNode) write(ready *Ready) {
	if ready.HardState != nil {
		n.disk.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		n.disk.Snapshot = ready.Snapshot
		kept := slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool {
			return ready.Discard || e.Index <= ready.Snapshot.Index
		})
		n.disk.Entries = kept
	}
	for _, entry := range ready.Entries {
		if n.disk.Snapshot != nil && entry.Index <= n.disk.Snapshot.Index {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(n.disk.Entries), func(e Entry) bool { return e.Index >= entry.Index })
		kept = append(kept, entry)
		n.disk.Entries = kept
	}
}

// sync syncs the node's first count unsynced Readys and sends the messages that waited for them, if its disk takes writes.
func (s *simulation) sync(n *simNode, count int) {
	count = min(count, len(n.pending))
	if n.replica == nil || count == 0 {
		return
	}
	if n.storage != StorageWorks {
		if n.replica.storage != n.storage {
			n.replica.SetStorage(n.storage)
			s.processReady(n)
		}
		return
	}
	done := n.pending[:count]
	n.pending = n.pending[count:]
	for i := range done {
		n.write(&done[i])
		s.inFlight = append(s.inFlight, done[i].Messages...)
	}
	n.replica.Synced(done[count-1].Number)
	n.replica.SetStorage(StorageWorks)
	s.processReady(n)
}

// processReady carries out all of the replica's Readys and checks them.
func (s *simulation) processReady(n *simNode) {
	s.checkRole(n)
	s.checkCommit(n)
	for n.replica.HasReady() {
		ready := n.replica.Ready()
		if n.replica.storage != StorageWorks && (ready.NeedsSync() || len(ready.Messages) > 0) {
			s.fail("%s submits work although its storage takes none: %+v", n.member.Name, ready)
		}
		s.inFlight = append(s.inFlight, ready.Immediate...)
		if ready.NeedsSync() || len(ready.Messages) > 0 {
			n.pending = append(n.pending, ready)
		}
		s.checkEntries(n, ready.Entries)
		s.checkCommit(n)
		if ready.Restore != nil {
			s.restore(n, ready.Restore)
			s.restored++
		}
		for _, entry := range ready.Committed {
			s.apply(n, entry)
		}
		for _, read := range ready.Reads {
			s.confirmed++
			if read.Index < s.minReadIndex[read.Request] {
				s.fail("stale read: index %d, but %d was committed before", read.Index, s.minReadIndex[read.Request])
			}
		}
	}
}

func (s *simulation) restore(n *simNode, snapshot *Snapshot) {
	var state simState
	if len(snapshot.Data) > 0 {
		if err := json.Unmarshal(snapshot.Data, &state); err != nil {
			s.fail("snapshot: %v", err)
		}
		if state.Index != snapshot.Index {
			s.fail("snapshot of index %d contains the state at %d", snapshot.Index, state.Index)
		}
	}
	n.applied, n.hash = snapshot.Index, state.Hash
	s.checkAppliedHash(n)
}

func (s *simulation) apply(n *simNode, entry Entry) {
	if entry.Index != n.applied+1 {
		s.fail("%s applies entry %d after entry %d", n.member.Name, entry.Index, n.applied)
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, n.hash, entry.Index, entry.Term, string(entry.Data))
	n.applied, n.hash = entry.Index, hash.Sum64()
	s.checkAppliedHash(n)
}

func (s *simulation) checkAppliedHash(n *simNode) {
	if known, found := s.appliedHashes[n.applied]; found && known != n.hash {
		s.fail("%s applied different entries up to %d", n.member.Name, n.applied)
	}
	s.appliedHashes[n.applied] = n.hash
}

// checkRole checks election safety, and leader completeness at the moment of election.
func (s *simulation) checkRole(n *simNode) {
	term := n.replica.hard.Term
	if n.replica.role != Leader {
		return
	}
	known, found := s.leaders[term]
	if found && known != n.member.ID {
		s.fail("term %d has two leaders, %d and %d", term, known, n.member.ID)
	}
	if found {
		return
	}
	s.leaders[term] = n.member.ID
	s.elections++
	for index, entry := range s.committed {
		if entry.Term < term && index > n.replica.log.base && !n.replica.log.matches(index, entry.Term) {
			s.fail("the leader of term %d lacks the committed entry %d of term %d", term, index, entry.Term)
		}
	}
}

// checkEntries checks log matching: entries with the same index and term are equal and have equal predecessors.
func (s *simulation) checkEntries(n *simNode, entries []Entry) {
	for _, entry := range entries {
		before, _ := n.replica.log.term(entry.Index - 1)
		content := fmt.Sprint(before, entry.Kind, string(entry.Data), entry.Configuration)
		key := [2]uint64{entry.Index, entry.Term}
		if known, found := s.entryContents[key]; found && known != content {
			s.fail("entry %d of term %d differs between logs", entry.Index, entry.Term)
		}
		s.entryContents[key] = content
	}
}

// checkCommit checks that all replicas commit the same entries.
func (s *simulation) checkCommit(n *simNode) {
	log := &n.replica.log
	for index := max(n.commit, log.base) + 1; index <= log.committed; index++ {
		entry := log.entries[index-log.base-1]
		known, found := s.committed[index]
		if found && known.Term != entry.Term {
			s.fail("entry %d is committed with terms %d and %d", index, known.Term, entry.Term)
		}
		s.committed[index] = entry
		s.maxCommit = max(s.maxCommit, index)
	}
	n.commit = log.committed
}

// leader returns the leader of the highest term, or nil.
func (s *simulation) leader() *simNode {
	var best *simNode
	for _, n := range s.nodes {
		if n.replica == nil || n.replica.role != Leader {
			continue
		}
		if best == nil || n.replica.hard.Term > best.replica.hard.Term {
			best = n
		}
	}
	return best
}

func (s *simulation) anyNode() *simNode {
	return s.nodes[s.random.IntN(len(s.nodes))]
}

func (s *simulation) tick(n *simNode) {
	if n.replica != nil {
		n.replica.Tick()
		s.processReady(n)
	}
}

// deliver delivers the message at a position in the queue, and leaves a copy there if leaveCopy is set.
func (s *simulation) deliver(position int, leaveCopy bool) {
	m := s.inFlight[position]
	if !leaveCopy {
		s.inFlight = slices.Delete(s.inFlight, position, position+1)
	}
	receiver := s.byID[m.To]
	if receiver == nil || receiver.replica == nil || s.blockedLinks[[2]ID{m.From, m.To}] {
		return
	}
	receiver.replica.Step(m)
	s.processReady(receiver)
}

// runHealthy runs rounds without faults: each node ticks, syncs, and receives its messages in order.
func (s *simulation) runHealthy(rounds int) {
	for range rounds {
		for _, n := range s.nodes {
			s.tick(n)
		}
		for range 4 {
			for _, n := range s.nodes {
				s.sync(n, len(n.pending))
			}
			for count := len(s.inFlight); count > 0; count-- {
				s.deliver(0, false)
			}
		}
		s.addMissingMembers()
	}
}

// runFaulty runs random steps. Each of them loses, duplicates, delays or reorders messages, advances one node's clock,
// syncs some of its Readys, proposes, reads, changes the blocked links, lets a disk fail, stall or work, or restarts a
// node.
func (s *simulation) runFaulty(steps int) {
	for range steps {
		switch choice := s.random.IntN(200); {
		case choice < 40:
			n := s.anyNode()
			for range 1 + s.random.IntN(4) {
				s.tick(n)
			}
		case choice < 80:
			n := s.anyNode()
			s.sync(n, 1+s.random.IntN(3))
		case choice < 165:
			s.deliverFaulty(choice)
		case choice < 185:
			s.propose(s.anyNode())
		case choice < 195:
			s.read(s.anyNode())
		case choice < 196:
			s.block(s.anyNode(), false)
		case choice < 197:
			clear(s.blockedLinks)
		case choice < 198:
			s.anyNode().storage = StorageState(s.random.IntN(3))
		default:
			n := s.anyNode()
			s.crash(n)
			s.start(n)
		}
	}
	s.addMissingMembers()
}

func (s *simulation) deliverFaulty(choice int) {
	switch {
	case len(s.inFlight) == 0:
	case choice < 140:
		s.deliver(min(s.random.IntN(4), len(s.inFlight)-1), false)
	case choice < 155:
		s.deliver(s.random.IntN(len(s.inFlight)), true)
	default:
		s.inFlight = slices.Delete(s.inFlight, 0, min(1+s.random.IntN(5), len(s.inFlight)))
	}
	if len(s.inFlight) > 300 {
		s.inFlight = s.inFlight[200:]
	}
}

func (s *simulation) propose(n *simNode) {
	if n.replica == nil || n.replica.role != Leader {
		return
	}
	s.proposals++
	_, _, _ = n.replica.Propose(fmt.Appendf(nil, "command %d", s.proposals))
	s.processReady(n)
}

func (s *simulation) read(n *simNode) {
	if n.replica == nil || n.replica.role != Leader {
		return
	}
	s.nextRead++
	s.minReadIndex[s.nextRead] = s.maxCommit
	_ = n.replica.Read(s.nextRead)
	s.processReady(n)
}

// addMissingMembers proposes to add the nodes that restarted with an empty disk.
func (s *simulation) addMissingMembers() {
	leader := s.leader()
	if leader == nil {
		return
	}
	for _, n := range s.nodes {
		if _, found := leader.replica.log.configuration().Find(n.member.ID); !found {
			_, _, _ = leader.replica.AddLearner(n.member)
			s.processReady(leader)
		}
	}
}

func (s *simulation) compact(n *simNode) {
	if n.replica == nil || n.applied <= 1 {
		return
	}
	data, _ := json.Marshal(simState{n.applied, n.hash})
	n.replica.Compact(n.applied, data)
	s.processReady(n)
}

// block blocks all links of a node in both directions, or a random subset of them.
func (s *simulation) block(n *simNode, allLinks bool) {
	for _, other := range s.nodes {
		if allLinks || s.random.IntN(2) == 0 {
			s.blockedLinks[[2]ID{n.member.ID, other.member.ID}] = true
		}
		if allLinks || s.random.IntN(2) == 0 {
			s.blockedLinks[[2]ID{other.member.ID, n.member.ID}] = true
		}
	}
}

// checkRecovery removes all faults and checks that the group works again: a proposal is applied on all nodes.
func (s *simulation) checkRecovery() {
	clear(s.blockedLinks)
	for _, n := range s.nodes {
		n.storage = StorageWorks
	}
	s.startAll()
	s.runHealthy(20 * simElectionTicks)
	leader := s.leader()
	if leader == nil {
		s.fail("no leader after recovery")
		return
	}
	s.propose(leader)
	s.runHealthy(10)
	for _, n := range s.nodes {
		if n.applied != leader.applied || n.applied < s.maxCommit {
			s.fail("%s applied %d of %d entries after recovery", n.member.Name, n.applied, s.maxCommit)
		}
	}
}
