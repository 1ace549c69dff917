package events

// Events 1000 to 1999: any process.
var (
	ProcessStarting  = define(1001, Info, "process starting", "the settings are accepted", "none")
	ProcessReady     = define(1002, Info, "process ready", "every role serves", "none")
	ProcessStopping  = define(1003, Info, "process stopping", "a stop was asked for; readiness has fallen", "none")
	ProcessStopped   = define(1004, Info, "process stopped", "nothing was cut", "none")
	SettingsReloaded = define(1006, Info, "settings reloaded", "the settings file has changed", "none")
	SettingsRefused  = define(1007, Warn, "settings not reloaded",
		"the settings file has changed and can't be used; the earlier settings stay", "mend the file")
	ListenerFailed = define(1008, Error, "listener failed", "it can't accept connections any more", "restart the process")
	ProcessFailed  = define(1005, Error, "process failed", "a role could not go on",
		"read the error's remedy and start again")
	SyncFailed = define(1101, Warn, "control unreachable", "a control VM did not answer; another is tried",
		"check the control VMs if it lasts")
	SyncRecovered   = define(1102, Info, "control reachable", "a control VM answers again", "none")
	RevisionInForce = define(1103, Info, "catalogue revision in force", "this node uses a new revision", "none")
)
