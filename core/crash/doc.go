// Package crash decides what may run where after workers have ended under tasks.
//
// Load pattern: a few tasks end each worker that starts them, some milliseconds after their start, and more of the same kind
// keep arriving. A worker runs tasks of many jobs, so one crash names many tasks, and all but one of them are innocent.
//
// A Monitor counts the crashes under each task and answers two questions. Is a task given up? After two crashes, the last of
// them with no other job's task at the worker: what ran beside it is not given up. Which workers may a queue use? Once a
// worker has ended under a task that had ended another one before, the task's queue is contained: its jobs run on as many
// workers as its share of the pool's work, and other queues use the other workers. A queue thus ends no more workers than its
// own share, and the others keep theirs. Containment ends after a time without a crash, which doubles if the queue has to be
// contained again soon.
//
// The members of a containment follow from the reported crashes and a hash, so that entries that know the same workers choose
// the same ones without a message.
package crash
