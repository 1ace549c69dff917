package events

// Events 3200 to 3299: what a sidecar does for the tasks of its worker.
var (
	RunRevoked = define(3201, Warn, "start not answered",
		"the worker did not answer an order; it is revoked and the task is offered elsewhere", "check the worker if it lasts")
	RunUnknown = define(3202, Info, "unknown run stopped",
		"the worker runs what this process has not ordered: a predecessor did, or an order came late", "none")
	RunLost = define(3203, Warn, "run lost", "a run ended with its worker or with its lease",
		"look for the worker's end or silence before it")
	RunStalled = define(3204, Warn, "run stalled", "a run made no progress and is stopped",
		"check the worker if several of its runs stall")
	OfferRefused  = define(3205, Info, "offer refused", "a task is not started here; the entry looks elsewhere", "none")
	GrantEnded    = define(3206, Warn, "entry out of touch", "an entry answers no probes; its tasks are stopped", "check the entry")
	WorkerChanged = define(3207, Info, "worker changed", "the worker started, leaves, ended or is back", "none")
)

// Events 2300 to 2399: what an entry does for jobs that it keeps in memory.
var (
	JobEnded          = define(2301, Info, "job ended", "a job has its answer", "none")
	OfferDeclined     = define(2302, Info, "offer declined", "a sidecar turned a task down; it is offered again", "none")
	RunUnsuccessful   = define(2303, Info, "run ended badly", "a run failed, stalled or was lost", "none, unless one worker stands out")
	SessionLost       = define(2304, Warn, "sidecar out of reach", "its tasks wait until they are over for certain", "check the worker's VM")
	SessionStarted    = define(2305, Info, "sidecar in reach", "a session with a sidecar has begun", "none")
	WorkerEjected     = define(2306, Warn, "worker set aside", "it fails work that succeeds elsewhere", "check the worker")
	WorkerOnProbation = define(2307, Info, "worker on trial", "it gets a little work again", "none")
	RunMoved          = define(2310, Info, "run moved", "a run is behind on a slow worker and is started anew elsewhere", "none")
	RequestRefused    = define(2309, Info, "request refused", "a request names no job that could be taken", "see the reason")
	JobStored         = define(2311, Info, "job stored", "an accepted job is in force; it runs whether its caller waits or not", "none")
	JobLeaseLost      = define(2312, Warn, "right to run stored jobs lost", "control has not answered in time; stored jobs of this entry are stopped",
		"check that a majority of the control VMs runs and can be reached")
	JobLeaseAcquired   = define(2313, Info, "right to run stored jobs", "control has confirmed that this entry runs its stored jobs", "none")
	StoredJobTakenOver = define(2314, Info, "stored job taken over", "control gave this entry a job of a holder that it did not hear", "none")
	StoredJobDropped   = define(2315, Info, "stored job dropped", "the job is another holder's, or over", "none")
	StoredJobCancelled = define(2316, Info, "stored job cancelled", "a caller's cancel is in force", "none")
	HolderRenamed      = define(2317, Warn, "holder renamed", "control gave all stored jobs of this entry to others; it goes on under another name",
		"look for the silence before it")
	StoreUncertain      = define(2318, Warn, "storing uncertain", "nobody could tell in time whether a job is stored", "check control")
	StoredJobUnreadable = define(2319, Error, "stored job unreadable", "a job given to this entry can't be read", "upgrade all entries to one version")
	WorkerReinstated    = define(2308, Info, "worker trusted", "its trial succeeded", "none")
)
