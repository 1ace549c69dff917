// Package runner decides which tasks one worker runs. It is a deterministic state machine without I/O: offers from
// entries, answers from the worker and the passing of time are method calls, and the resulting actions are returned as
// Effects. Times are durations since the machine's boot, including suspended time.
//
// # Why two runs of a task never overlap
//
//   - The worker takes orders only from this sidecar, with a fence that increases whenever either of them restarts. A
//     delayed order from a predecessor of this process carries a lower fence and is rejected.
//   - The fence also increases whenever a call is given up without an answer. A worker that has started again under its ID has seen no
//     fence and knows of no stop: the first call that it gets excludes all orders that were given up before.
//   - Running tasks end by themselves when their lease expires. The lease is an absolute time on the worker's clock, so
//     a delayed order does not extend it.
//   - The lease never outlasts the grant of any entry with a session, whether it has tasks here or not: a lease never
//     shortens, and a task that starts later runs under it. A grant ends Limits.Grant after the sending of the last probe
//     that the entry has answered. An entry that receives nothing therefore knows when all its offers are over:
//     Limits.Grant after its last answer, plus a margin for the drift of the worker's clock.
//   - An order without an answer is revoked. Its offer is refused only after the worker has confirmed the stop, the time that a
//     stop may take has passed, and the worker has reported its ends since: meanwhile it may list the run nowhere. Only then may
//     the entry offer the task elsewhere. If the worker starts again meanwhile, the order is revoked at the new process, which may
//     have the ID of the old one and carry it out.
//   - A stored job's run that is to be stopped is over within the entry's grant, also if the worker answers no Stop: the lease is not
//     renewed from StopTimeout after that, until the Stop is answered or the lease has expired.
//   - A run is over by the worker's word, with its lease on the worker's clock, or once a later incarnation has answered at the
//     worker's address (type proof). Nothing else shows it: a worker that refuses connections, for however long, may have lost only
//     its listener, and anyone can announce another incarnation.
//
// # Suspicions
//
// That the worker seems to have ended (type suspicion) is another fact. It acts at once on what can't start a task twice: the worker
// gets no tasks and no lease, and entries are told under which tasks it may have ended. It is withdrawn once the worker answers.
package runner
