// Package placement decides which target gets which task.
//
// A LoadTable holds what an entry knows about targets: the records that control delivers, the load that sidecars report
// with their answers, and the entry's own outstanding attempts. A Policy picks one of the targets with free capacity. A
// Queue orders the tasks that wait at the entry: by weighted fair share across owners, then by the shortest remaining
// job, with a limit on how long shorter jobs may overtake a longer one.
//
// Tasks are bound to targets late: a task waits at the entry until a slot is believed free, so that no task queues
// behind a long one at a target while another target is idle. All times and random sources are arguments.
package placement
