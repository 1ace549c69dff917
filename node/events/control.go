package events

// Events 4000 to 4999: control.
var (
	NodeRegistered   = define(4001, Info, "node registered", "an entry or sidecar registered or changed its record", "none")
	NodeDeregistered = define(4002, Info, "node deregistered", "a node finished a planned stop", "none")
	NodeLost         = define(4003, Warn, "node lost", "no control VM has received a message from the node for the duration of its lease",
		"check the VM; the node registers again by itself when it can reach control")
	CatalogueChanged = define(4004, Info, "catalogue changed", "an operator's change was accepted", "none")
	CatalogueRefused = define(4005, Info, "catalogue change refused", "the change is not based on the current revision",
		"read the current revision and apply the change to it")
	TargetDrained = define(4006, Info, "target drain changed", "an operator drained a target or ended its drain", "none")
	QuorumLost    = define(4007, Warn, "no contact with a majority",
		"this control VM can't confirm that its state is current; it redirects followers to other VMs",
		"if 5040 or 5042 is logged too, check the disk of this VM, else the other control VMs and the network between them")
	QuorumRegained = define(4008, Info, "contact with a majority restored", "this control VM serves requests again", "none")
	DigestFailed   = define(4009, Debug, "digest not delivered", "the leader did not answer; the next digest includes the same nodes",
		"none, unless there is no leader for a long time")
	CatalogueNotPacked = define(4021, Error, "catalogue not packed", "a revision can't be encoded in packed form; nodes receive its text",
		"report the fault and name the revision")
	HolderRetired = define(4020, Warn, "holder retired", "an entry that holds accepted jobs did not renew its job lease; other entries run the jobs now",
		"check the entry")
	LeaseWatchStarted = define(4010, Info, "node lease monitoring started", "this control VM leads; it reports no node lost before the duration of one lease has passed",
		"none")
	MemberChanged         = define(4011, Info, "control member changed", "an operator added or removed a control VM", "none")
	CatalogueVersionStale = define(4012, Info, "catalogue version not newer than the current one",
		"an operator sent the current version or an older one; nothing changed", "none")
	EvacuationOrdered = define(4030, Info, "evacuation ordered", "an operator evacuates a data centre; its workers get no new tasks", "none")
	EvacuationEnded   = define(4031, Info, "evacuation ended", "an operator ended the evacuation of a data centre; its workers get tasks again", "none")
	OrderSuperseded   = define(4032, Warn, "evacuation order superseded", "a newer order for the data centre was given since the call arrived; nothing changed",
		"list the evacuations and give the order again if it is still wanted")
	LastDataCentreEvacuated = define(4033, Warn, "last data centre of a pool evacuated",
		"every worker of the pool is in an evacuated data centre; its jobs are refused until an evacuation ends",
		"end an evacuation or start workers elsewhere")
)
