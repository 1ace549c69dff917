// Package placement decides which target gets which task.
//
// A Board keeps what an entry knows of targets: the records that control delivers, the load that sidecars carry on
// their answers, and the entry's own attempts on their way. A Policy picks among targets with room. A Queue orders
// the tasks that wait at the entry: by weighted fair share across owners, then by the shortest remaining job with
// a bound on how long a long job lets shorter ones go first.
//
// Binding is late: a task waits at the entry until a slot is thought free, so that no task queues behind a long one
// at a target while another target idles. All times and random sources are arguments.
package placement
