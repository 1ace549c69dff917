package events

// Events 1000 to 1999: any process.
var (
	ProcessStarting  = define(1001, Info, "process starting", "the settings are accepted", "none")
	ProcessReady     = define(1002, Info, "process ready", "every role is ready", "none")
	ProcessStopping  = define(1003, Info, "process stopping", "a stop was requested; the process reports that it is not ready", "none")
	ProcessStopped   = define(1004, Info, "process stopped", "all requests in progress were finished", "none")
	SettingsReloaded = define(1006, Info, "settings reloaded", "the settings file has changed", "none")
	SettingsRefused  = define(1007, Warn, "settings not reloaded",
		"the settings file can't be read, or has changed and is not valid; the earlier settings stay in force, and the file is read again", "correct the file")
	ListenerFailed = define(1008, Error, "listener failed", "it can no longer accept connections", "restart the process")
	AcceptFailed   = define(1009, Error, "listener short of resources", "a listener failed to accept a connection; it tries again",
		"check the limits of open files and memory")
	// LogLinesDropped is written by the log's writer itself.
	LogLinesDropped = define(1010, Warn, "log lines dropped", "the log's output was blocked or could not be written; the field lines says how many lines are missing",
		"check the disk and the reader of the log")
	HandlerPanicked = define(1011, Error, "request ended by a defect", "the handler of a request panicked; its connection is closed, and the process goes on",
		"report the line, which has the stack, as a defect")
	ClientsRefused = define(1012, Warn, "clients refused",
		"clients hold so much memory or so many connections that connections were closed or requests refused; the fields count them since the last such line, "+
			"which is at least 10 s older", "none if it passes; else find the clients, and compare the metrics of the intake with its limits")
	ProcessFailed = define(1005, Error, "process failed", "a role could not start or continue",
		"follow the remedy in the error and start the process again")
	SyncFailed = define(1101, Warn, "control unreachable", "a control VM did not answer; another is tried",
		"check the control VMs if this continues")
	SyncRecovered   = define(1102, Info, "control reachable", "a control VM answers again", "none")
	RevisionInForce = define(1103, Info, "catalogue revision in force", "this node has switched to a new revision", "none")
)
