package events

// Events 5000 to 5999: the replicated log of the control VMs.
var (
	ReplicaCreated = define(5001, Info, "data folder created", "the VM starts with an empty data folder",
		"expected at the first start and after a disk was replaced")
	ReplicaGroupBootstrapped = define(5002, Info, "group founded", "all initial members were reached and none had a group",
		"none")
	ReplicaWaiting = define(5003, Warn, "waiting to become a member",
		"the data folder belongs to no group and the members named in the settings don't take this VM in",
		`start all initial members, or run "flamingohall members add" for this VM`)
	ReplicaLeading     = define(5010, Info, "leading", "this VM was elected", "none")
	ReplicaSteppedDown = define(5011, Info, "stopped leading", "another VM leads, or no quorum answered", "none")
	ReplicaFollowing   = define(5012, Info, "following", "a leader is known", "none")
	ReplicaNoLeader    = define(5013, Warn, "no leader", "no leader was heard for an election timeout",
		"check that a majority of the control VMs runs and that they reach each other")
	ReplicaMembersChanged  = define(5020, Info, "members changed", "a change of members is in the log", "none")
	ReplicaReplacing       = define(5021, Info, "replacing a member", "a VM of a known name came back with a new disk", "none")
	ReplicaTornTail        = define(5030, Info, "unfinished write dropped", "the process ended within a write", "none")
	ReplicaSnapshotSkipped = define(5031, Warn, "snapshot ignored", "a snapshot can't be read and the previous one is used",
		"check the disk; replace the VM if it happens again")
	ReplicaSnapshot      = define(5032, Debug, "snapshot saved", "the log was compacted", "none")
	ReplicaRestored      = define(5033, Info, "snapshot restored", "the state came from a snapshot", "none")
	ReplicaStorageFailed = define(5040, Error, "storage failed",
		"a write or sync failed; this VM takes no part until it is started again", "see the error's remedy")
	ReplicaPeerUnreachable = define(5050, Warn, "member unreachable", "messages to a member fail", "check that VM if it lasts")
	ReplicaPeerReachable   = define(5051, Info, "member reachable", "messages to a member pass again", "none")
)
