// Package crash decides what may run where after workers have ended under tasks.
//
// Load pattern: a few tasks end each worker that starts them, some milliseconds after their start, and more of the same kind
// keep arriving. A worker runs tasks of many jobs, so one crash names many tasks, and all but one of them are innocent.
//
// A Monitor counts the crashes under each task and answers two questions. Is a task given up? After two crashes at about the same
// point of its work, or three, the last of them with no other job's task at the worker: what ran beside it is not given up. Which
// workers may a queue use? Once the tasks of a queue explain the recent crashes better than chance and than any other queue, the
// queue is contained: its jobs run on as many workers as its share of the pool's work, at most half of them, and other queues use
// the other workers. Containment ends after a time without a crash that the queue explains, which doubles if the queue has to be
// contained again soon, or once another contained queue explains all of its crashes.
//
// The members of a containment follow from the reported crashes, a hash and the share, so that entries that know the same workers
// and have seen as much work choose the same ones without a message.
package crash
