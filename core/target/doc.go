// Package target is the aggregate of one target as its sidecar sees it: slots, a bounded queue, and the gate through
// which every start goes.
//
// # The gate
//
// A task is named by its job and index, a try of it by an attempt. For never-repeated work the gate lets at most one
// start of a task through in the life of a process: a later attempt starts only when every earlier one is known not
// to have started. Copies of a request attach to the task they name. What the gate has refused stays refused for that
// attempt, so that a late copy can't start what was reported as not run.
//
// Three numbers order the claims on a task. The incarnation names the process that a request means: work meant for an
// earlier process is answered UNKNOWN, since that process may have started it. The epoch names the claim: a job keeps
// a fence, the highest epoch seen, and requests below it start nothing. The attempt orders tries under one epoch.
//
// # What is remembered
//
// Outcomes are kept until they are too old or too large together. Repeatable work goes first and leaves nothing. A
// never-repeated job leaves a tombstone: its fence and attempt when nothing of it was started, else the mere fact
// that something was. Tombstones are bounded in number. Epochs are ordered over all jobs, so that of the dropped ones
// the highest epoch stays: work at or below it that is not known is answered UNKNOWN, as it may have been dropped.
//
// A job whose tasks have all ended is packed into a block without pointers and unpacked when it is asked for. Packed,
// a job of one task takes about 80 bytes, each further task 15, with results on top; a tombstone takes 50.
//
// # Use
//
// A Target is not safe for concurrent use. Its owner calls Step with the time since the start of the process and one
// event, and carries out the effects that it returns before the next call.
package target
