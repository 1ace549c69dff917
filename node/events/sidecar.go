package events

// Events 3000 to 3999: the sidecar and the stand-in target.
var (
	StandInListening = define(3901, Info, "stand-in target listening", "a stand-in target serves", "none")
	StandInBehaviour = define(3902, Info, "stand-in behaviour changed", "its knobs were changed", "none")
	StandInFailed    = define(3903, Error, "stand-in target failed", "its listener broke", "start the process again")
)
