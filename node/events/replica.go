package events

// Events 5000 to 5999: the replicated log of the control VMs.
var (
	ReplicaCreated = define(5001, Info, "data folder created", "the VM starts with an empty data folder",
		"expected at the first start and after a disk was replaced")
	ReplicaGroupBootstrapped = define(5002, Info, "group bootstrapped", "all initial members were reached and none belonged to a group",
		"none")
	ReplicaWaiting = define(5003, Warn, "waiting to become a member",
		"the data folder belongs to no group and the members named in the settings have not added this VM",
		`start all initial members, or run "flamingohall members add" for this VM`)
	ReplicaLeading     = define(5010, Info, "became leader", "this VM was elected", "none")
	ReplicaSteppedDown = define(5011, Info, "stopped leading", "another VM leads, or a quorum did not answer", "none")
	ReplicaFollowing   = define(5012, Info, "following a leader", "this VM knows the current leader", "none")
	ReplicaNoLeader    = define(5013, Warn, "no leader", "no message from a leader arrived within an election timeout",
		"check that a majority of the control VMs is running and that they can reach each other")
	ReplicaRole = define(5014, Info, "role changed", "this VM started, won, lost or abandoned an election; the reason says why",
		"none, unless it is repeated: then look for 5015 and 5034 on all control VMs, and check the network between them")
	ReplicaDelayed = define(5015, Warn, "replica delayed",
		"the replica's clock advanced late, by more than an election timeout; the process was suspended or is short of processor time",
		"give the control VM more processor time")
	ReplicaMembersChanged  = define(5020, Info, "members changed", "a membership change was added to the log", "none")
	ReplicaReplacing       = define(5021, Info, "replacing a member", "a VM with the name of an existing member has an empty data folder", "none")
	ReplicaTornTail        = define(5030, Info, "incomplete write discarded", "the process ended during a write", "none")
	ReplicaSnapshotSkipped = define(5031, Warn, "snapshot skipped", "a snapshot can't be read; the previous one is used",
		"check the disk; replace the VM if it happens again")
	ReplicaSnapshot = define(5032, Debug, "snapshot saved", "the log was compacted", "none")
	ReplicaRestored = define(5033, Info, "snapshot restored", "the state came from a snapshot", "none")
	ReplicaSyncSlow = define(5034, Warn, "storage slow", "a write with its sync took longer than an election timeout",
		"check the disk of the control VM and its processor time")
	ReplicaStorageFailed = define(5040, Error, "storage failed",
		"a write or sync failed, for example because the disk is full; the VM tries again until it succeeds, and hands over if it leads",
		"free space on the disk, or follow the remedy in the error; no restart is needed")
	ReplicaStorageWorks = define(5041, Info, "storage works again", "a write succeeded after 5040 or 5042; the duration is the time between",
		"none")
	ReplicaStorageStalled = define(5042, Warn, "storage stalled",
		"a write has not returned for longer than another VM needs to be elected; the VM hands over if it leads and another one is faster",
		"check the disk of the control VM and its processor time")
	ReplicaStopped = define(5043, Error, "replica stopped",
		"the data folder can't be trusted, or a snapshot could not be taken or restored; this VM leaves the group's work until the process is restarted",
		"follow the remedy in the error")
	ReplicaPeerUnreachable = define(5050, Warn, "member unreachable", "messages to a member fail", "check that VM if this continues")
	ReplicaPeerReachable   = define(5051, Info, "member reachable", "messages to a member are delivered again", "none")
)
