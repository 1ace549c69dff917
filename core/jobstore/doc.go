// Package jobstore is the replicated table of accepted jobs: what was accepted, which entry runs it, which of its tasks
// are done, and how it ended. It is a pure state machine that every control VM applies in the order of the log.
//
// An entry that runs a job is its holder. A job has one holder at a time, and its epoch grows with each new one. A holder
// that control has not heard for a while is retired: its jobs go to other holders, and nothing is stored for it again.
// Ends of runs may be recorded by anybody, since an end is a fact; recording one twice has no further effect.
package jobstore
