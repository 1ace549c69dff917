package events

// Events 2000 to 2999: the entry role.
var (
	CallersServed         = define(2001, Info, "callers served", "the callers' listener is open", "none")
	CallersListenerFailed = define(2002, Error, "callers' listener failed", "it can't accept connections any more",
		"restart the process")
	DeregistrationFailed = define(2003, Warn, "goodbye failed", "control did not note a planned stop",
		"none: the lease lapses by itself")
	ConnectionUnresponsive = define(2101, Warn, "connection silent", "a call got no answer in time; the target is asked again on a fresh connection",
		"look for what drops connections between the two VMs if it lasts")
	TargetSuspected = define(2102, Warn, "target suspected", "a fresh connection got no answer either; new work goes elsewhere for a while",
		"check the target's VM")
	TargetLost        = define(2103, Info, "target lost", "control no longer lists the target, or a new process has its place", "none")
	TargetEjected     = define(2104, Warn, "target set aside", "it fails work that succeeds elsewhere", "check the target")
	TargetOnProbation = define(2105, Info, "target on trial", "it gets one repeatable task at a time", "none")
	TargetReinstated  = define(2106, Info, "target back", "its trial succeeded", "none")
	JobTakenOver      = define(2201, Info, "job taken over", "its earlier entry is gone; what it started is collected", "none")
	FinishFailed      = define(2202, Warn, "answer not stored", "control did not store a final answer in time",
		"check that a majority of the control VMs runs")
)
