package events

// Events 3000 to 3999: the sidecar and the stand-in target.
var (
	SidecarStarted              = define(3001, Info, "sidecar started", "it watches its target and announces it", "none")
	SidecarLeaving              = define(3002, Info, "sidecar leaving", "a planned stop; new work is refused", "none")
	SidecarDeregistrationFailed = define(3003, Warn, "goodbye not acknowledged",
		"control did not answer the last message of a stop; the lease ends by itself", "check the control VMs")
	SidecarDrained    = define(3004, Info, "target drained or taken back", "an operator's drain changed", "none")
	TargetUnreachable = define(3101, Warn, "target away", "no connection to the target can be opened; work is refused",
		"start the target")
	TargetReachable  = define(3102, Info, "target back", "the target accepts connections again", "none")
	RecordingFailed  = define(3103, Warn, "recording failed", "the trace of the start gate is not whole", "free space in sidecar.trace_folder")
	StandInListening = define(3901, Info, "stand-in target listening", "a stand-in target serves", "none")
	StandInBehaviour = define(3902, Info, "stand-in behaviour changed", "its knobs were changed", "none")
	StandInFailed    = define(3903, Error, "stand-in target failed", "its listener broke", "start the process again")
)
