package events

// Events 3000 to 3999: the sidecar and the stand-in target.
var (
	SidecarStarted              = define(3001, Info, "sidecar started", "it monitors its target and registers it with control", "none")
	SidecarLeaving              = define(3002, Info, "sidecar leaving", "a planned stop has started; new work is refused", "none")
	SidecarDeregistrationFailed = define(3003, Warn, "deregistration not acknowledged",
		"control did not acknowledge a planned stop; the lease expires by itself", "check the control VMs")
	LeaveNotConfirmed = define(3005, Warn, "refusal of new work not confirmed",
		"during a planned stop, the loop did not confirm in time that it refuses new work; tasks may still start until the stop ends",
		"check the load of the VM")
	SidecarDrained    = define(3004, Info, "target drain applied", "an operator drained the target or ended its drain", "none")
	TargetUnreachable = define(3101, Warn, "target unreachable", "no connection to the target can be opened; work is refused",
		"start the target")
	TargetReachable  = define(3102, Info, "target reachable", "the target accepts connections again", "none")
	RecordingFailed  = define(3103, Warn, "recording failed", "the recording of the sidecar's decisions is incomplete", "free space in sidecar.trace_folder")
	StandInListening = define(3901, Info, "stand-in target listening", "a stand-in target accepts connections", "none")
	StandInBehaviour = define(3902, Info, "stand-in behaviour changed", "its settings were changed", "none")
	StandInFailed    = define(3903, Error, "stand-in target failed", "its listener failed", "restart the process")
)
