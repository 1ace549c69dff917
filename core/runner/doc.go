// Package runner decides which tasks one worker runs. It is a deterministic state machine without I/O: offers from
// entries, answers from the worker and the passing of time are method calls, and the resulting actions are returned as
// Effects. Times are durations since the machine's boot, including suspended time.
//
// # Why two runs of a task never overlap
//
//   - The worker takes orders only from this sidecar, with a fence that increases whenever either of them restarts. A
//     delayed order from a predecessor of this process carries a lower fence and is rejected.
//   - Running tasks end by themselves when their lease expires. The lease is an absolute time on the worker's clock, so
//     a delayed order does not extend it.
//   - The lease never outlasts the grant of any entry with a session, whether it has tasks here or not: a lease never
//     shortens, and a task that starts later runs under it. A grant ends Limits.Grant after the sending of the last probe
//     that the entry has answered. An entry that receives nothing therefore knows when all its offers are over:
//     Limits.Grant after its last answer, plus a margin for the drift of the worker's clock.
//   - An order without an answer is revoked. Its offer is refused only after the worker has confirmed the stop and
//     reported its ends; only then may the entry offer the task elsewhere. If the worker starts again meanwhile, the order is
//     revoked at the new process, which may have the ID of the old one and carry it out.
//   - A run is over by the worker's word, with its lease, or with the end of the worker's process. That a connection is refused
//     doesn't show that end unless it lasts and no earlier call is open, and an announcement of another incarnation doesn't
//     unless the process at the worker's address confirms it.
package runner
