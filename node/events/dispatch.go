package events

// Events 3200 to 3299: tasks that a sidecar runs on its worker.
var (
	RunRevoked = define(3201, Warn, "start not answered",
		"the worker did not answer a start request; the request is revoked and the task is offered elsewhere",
		"check the worker if this continues")
	RunUnknown = define(3202, Info, "unknown run stopped",
		"the worker runs a task that this process did not start: a predecessor did, or a start request arrived late", "none")
	RunLost = define(3203, Warn, "run lost", "a run was lost because its worker ended or its lease expired",
		"look for earlier events about the worker's end or missing answers")
	RunStalled = define(3204, Warn, "run stalled", "a run reported no progress and is stopped",
		"check the worker if several of its runs stall")
	OfferRefused          = define(3205, Info, "offer refused", "the task is not started here; the entry offers it to another worker", "none")
	GrantEnded            = define(3206, Warn, "entry unreachable", "an entry does not answer probes; its tasks are stopped", "check the entry")
	ConnectionNotAccepted = define(3208, Error, "connection not accepted", "the listener for entries failed to accept a connection; it tries again",
		"check the limit of open files")
	WorkerEnded = define(3209, Warn, "worker ended under runs", "the worker ended or restarted while it ran these tasks, without having said that it leaves",
		"compare the tasks of these events: one that is named again and again ends its workers")
	ReservationMade    = define(3210, Debug, "reservation made", "a large task waits for capacity; tasks that would delay its start are not started", "none")
	ReservationKept    = define(3211, Debug, "reservation kept", "the task with the reservation is started", "none")
	ReservationGivenUp = define(3212, Debug, "reservation given up",
		"the reservation was not met in time, or its task no longer waits at this worker",
		"if most are not met in time, switch the pool's reservations off")
	AnnouncementIgnored = define(3213, Warn, "announcement ignored", "another worker, or another start of this one, was announced than the one that listens at the worker's address",
		"find out who announces it, if this continues")
	OtherIncarnationAnswered = define(3217, Warn, "another start of the worker answered",
		"the process at the worker's address is another one than the known; fence is that of the call which it answered, tasks are those that it lists as running",
		"none if an announcement of the worker follows (3207); else find out what listens at its address")
	WorkerSuspected = define(3216, Warn, "worker seems to have ended under runs",
		"the worker has refused connections for a while; its runs count as running until its lease has expired, another incarnation answers, or it answers itself (3215)",
		"compare with 3209, which follows if the worker has ended")
	ConnectionsRefused = define(3214, Warn, "worker refuses connections",
		"nothing listens at the worker's address; the worker gets no tasks, and its lease isn't renewed. It may have ended, or go on with its runs: "+
			"see the answer that follows (3215, 3209, 3207), the error of the call, the open calls, and the age of the last answer",
		"check the worker if no answer follows")
	ConnectionsAccepted = define(3215, Info, "worker answers again",
		"the incarnation that had refused connections has answered; listed is the number of runs that it went on with",
		"if this continues, look for what closes the worker's port while it runs")
	WorkerChanged = define(3207, Info, "worker changed", "the worker started, is leaving, ended or is reachable again", "none")
)

// Events 2300 to 2399: jobs that an entry keeps in memory.
var (
	JobEnded        = define(2301, Info, "job ended", "a job has its final answer", "none")
	OfferDeclined   = define(2302, Info, "offer declined", "a sidecar declined a task; the task is offered again", "none")
	RunUnsuccessful = define(2303, Info, "run unsuccessful", "a run failed, stalled or was lost", "none, unless most of these events name one worker")
	SessionLost     = define(2304, Warn, "sidecar unreachable", "its tasks are offered again only once it is certain that they have ended",
		"check the worker's VM")
	SessionEstablished = define(2305, Info, "sidecar reachable", "a session with a sidecar has started", "none")
	WorkerEjected      = define(2306, Warn, "worker ejected", "the worker fails tasks that succeed on other workers", "check the worker")
	WorkerOnProbation  = define(2307, Info, "worker on probation", "an ejected worker is given a few tasks again", "none")
	RunMoved           = define(2310, Info, "run moved", "a run is late on a slow worker and is restarted on another one", "none")
	RequestRefused     = define(2309, Info, "request refused", "a request can't be accepted as a job", "see the reason")
	JobStored          = define(2311, Info, "job stored", "an accepted job is stored; it runs whether or not its caller waits", "none")
	JobLeaseLost       = define(2312, Warn, "job lease lost", "control did not renew the lease in time; stored jobs of this entry are stopped",
		"check that a majority of the control VMs is running and reachable")
	JobLeaseAcquired   = define(2313, Info, "job lease acquired", "control has confirmed that this entry may run its stored jobs", "none")
	StoredJobTakenOver = define(2314, Info, "stored job taken over", "control assigned this entry a job whose holder did not renew its job lease", "none")
	StoredJobDropped   = define(2315, Info, "stored job dropped", "the job belongs to another holder or has ended", "none")
	StoredJobCancelled = define(2316, Info, "stored job cancelled", "a caller cancelled the job", "none")
	HolderRenamed      = define(2317, Warn, "holder renamed", "control assigned all stored jobs of this entry to others; the entry continues under another holder name",
		"look for an earlier loss of the job lease")
	StoredJobMissing = define(2318, Info, "stored job missing", "control stores a job of this entry that it has no answer about; it is requested and run",
		"none; an answer of control was lost or arrives late")
	StoredJobKnown = define(2340, Info, "stored job known", "a request to store a job found that control has it already: a copy of the request, or one whose answer was lost; "+
		"holder and epoch are those that control names", "none")
	AssignmentIgnored = define(2341, Warn, "assignment ignored", "control assigned this entry a job that it has already, under another epoch",
		"keep the log lines with the job's ID and report them")
	CrashRecorded = define(2342, Info, "crash recorded", "control is asked to record that a worker ended under a run of a stored task; the next holder of the job learns "+
		"the number of these records", "none")
	StoredJobUnreadable = define(2319, Error, "stored job unreadable", "a job assigned to this entry can't be decoded", "upgrade all entries to one version")
	TaskGivenUp         = define(2320, Warn, "task given up", "workers have ended under the task, the last of them with no other job's task; its job fails",
		"find out why the task ends its workers; event 3209 names the workers")
	QueueContained = define(2321, Warn, "queue contained", "tasks of the queue end their workers; its jobs run on a few workers and those of other queues on the rest",
		"find the tasks (events 2320 and 3209) and stop their callers")
	QueueReleased = define(2322, Info, "queue released", "no worker has ended under the queue's tasks for a while; its jobs may run on all workers again", "none")
	DrainsChanged = define(2323, Info, "drained workers changed", "operators drained workers, evacuated data centres, or ended that; drained workers get no new tasks", "none")
	SheddingBegan = define(2324, Warn, "jobs refused for scarce capacity", "accepted work waits so long that the most urgent jobs would be late; part of the jobs of all queues is refused",
		"add workers if this happens often; compare the queues' counts of refused jobs")
	SheddingEnded    = define(2325, Info, "no more jobs refused for scarce capacity", "for a while, no job was refused because of the pool's backlog", "none")
	AnswersNotShared = define(2326, Warn, "answers not shared with an entry",
		"another entry can't be reached; a caller who repeats an answered request there may have it run again",
		"none if that entry is being restarted; else check the network between the entries")
	AnswersShared  = define(2327, Info, "answers shared again", "the other entry can be reached again, and has got the answers since then", "none")
	RecordRejected = define(2328, Warn, "record of ends rejected", "control rejected the call; the ends are recorded when the workers report them again",
		"check the load of the control VMs if this continues")
	ProgressUnknown = define(2329, Warn, "progress of a job unknown", "control rejected the query; its tasks wait, and the query is repeated",
		"check the load of the control VMs if this continues")
	WorkerReadmitted = define(2308, Info, "worker readmitted", "the worker passed its probation", "none")
)
