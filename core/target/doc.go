// Package target is the state machine that a sidecar runs for its target: the slots, a bounded queue and the gate that
// decides about every start.
//
// # The gate
//
// A task is identified by its job and index, one execution of it by an attempt number. The gate starts a never-repeated
// task at most once in the lifetime of a process: a later attempt starts only when every earlier one is known not to
// have started. Duplicates of a request attach to the task that they name. An attempt that was refused stays refused,
// so that a delayed duplicate can't start what was reported as not run.
//
// Three values decide whether a request may start a task. The incarnation identifies the process that the request was
// addressed to: a request for an earlier process is answered UNKNOWN, since that process may have started the task. The
// epoch identifies the claim: a job keeps a fence, the highest epoch seen, and requests below it start nothing. The
// attempt orders executions under one epoch.
//
// # Retention
//
// Outcomes are kept until they exceed a maximum age or a maximum total size. Repeatable jobs are evicted first and
// leave nothing behind. A never-repeated job leaves a tombstone: its fence and attempt if none of its tasks was
// started, else only the fact that one may have been. The number of tombstones is bounded. Epochs are ordered over all
// jobs, so the highest epoch of the dropped tombstones is kept: an unknown job at or below it is answered UNKNOWN,
// because its tombstone may have been dropped.
//
// A job whose tasks have all ended is packed into a block without pointers and unpacked on access. A packed job of one
// task takes about 80 bytes and each further task 15, plus the results; a tombstone takes 50.
//
// # Use
//
// A Target is not safe for concurrent use. Its owner calls Step with one event and the time since the start of the
// process, and carries out the returned effects before the next call.
package target
