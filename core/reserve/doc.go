// Package reserve plans the queue of one worker with reservations. It answers load in which tasks of a few cores always find
// a gap, so that tasks that need much of the worker wait until all gaps happen to be free at once.
//
// The first task by slack that doesn't fit and needs at least a sixth of the worker gets the reservation: the time at which
// enough runs are expected to end. Another task, also one with less slack, starts before it only if it is expected to end by
// then, or if it fits beside the task at that time (backfilling). At most one task has the reservation. It is given up after a
// bounded time, because expected run times may be wrong.
//
// The package is pure: the time, the runs and the waiting tasks are arguments.
package reserve
