package events

// Events 2000 to 2999: the entry role.
var (
	CallersServed         = define(2001, Info, "callers served", "the callers' listener is open", "none")
	CallersListenerFailed = define(2002, Error, "callers' listener failed", "it can no longer accept connections",
		"restart the process")
	DeregistrationFailed = define(2003, Warn, "deregistration failed", "control did not acknowledge a planned stop",
		"none: the lease expires by itself")
	ConnectionUnresponsive = define(2101, Warn, "connection unresponsive", "a call was not answered in time; the target answered on a new connection",
		"if this continues, look for a device that drops connections between the two VMs")
	TargetSuspected = define(2102, Warn, "target suspected", "the target did not answer on a new connection either; it gets no new work for a while",
		"check the target's VM")
	TargetLost        = define(2103, Info, "target lost", "control no longer lists the target, or a new process has replaced it", "none")
	TargetEjected     = define(2104, Warn, "target ejected", "the target fails tasks that succeed on other targets", "check the target")
	TargetOnProbation = define(2105, Info, "target on probation", "an ejected target is given one repeatable task at a time", "none")
	TargetReadmitted  = define(2106, Info, "target readmitted", "the target passed its probation", "none")
	JobTakenOver      = define(2201, Info, "job taken over", "the entry that held the job has ended or its lease has expired; the outcomes of the tasks that it started are collected", "none")
	FinishFailed      = define(2202, Warn, "answer not stored", "control did not store a final answer in time",
		"check that a majority of the control VMs is running")
)
