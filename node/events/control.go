package events

// Events 4000 to 4999: control.
var (
	NodeRegistered   = define(4001, Info, "node registered", "an entry or sidecar announced itself or changed", "none")
	NodeDeregistered = define(4002, Info, "node said goodbye", "a planned stop ended", "none")
	NodeLost         = define(4003, Warn, "node lost", "no control VM has heard of the node for a lease",
		"check the VM; the node comes back by itself when it can reach control")
	CatalogueChanged = define(4004, Info, "catalogue changed", "an operator's change was accepted", "none")
	CatalogueRefused = define(4005, Info, "catalogue change refused", "another change came first",
		"the operator reads the current revision and applies again")
	TargetDrained = define(4006, Info, "target drain changed", "an operator drained a target or lifted the drain", "none")
	QuorumLost    = define(4007, Warn, "no contact with a majority",
		"this control VM can't confirm what it knows; it sends followers to other VMs",
		"check the other control VMs and the network between them")
	QuorumRegained = define(4008, Info, "in contact with a majority", "this control VM serves again", "none")
	DigestFailed   = define(4009, Debug, "digest not delivered", "the leader did not answer; the next digest repeats it",
		"none, unless a leader is missing for long")
	CatalogueNotPacked = define(4021, Error, "catalogue not packed", "a revision can't be packed; nodes get its text",
		"report it with the revision")
	HolderRetired = define(4020, Warn, "holder retired", "an entry that holds accepted jobs was not heard; others run them now",
		"check the entry")
	LeaseWatchStarted = define(4010, Info, "watching over nodes", "this control VM leads; it gives no node up for one lease",
		"none")
	MemberChanged         = define(4011, Info, "control member changed", "an operator added or removed a control VM", "none")
	CatalogueVersionStale = define(4012, Info, "catalogue version not above the current one",
		"an operator sent a version again, or an older one; nothing changed", "none")
)
