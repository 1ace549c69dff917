// Package job is the aggregate of one submission: its tasks, the attempts made for each, their outcomes, the deadline
// and the answer.
//
// A Job is a pure state machine: Step takes the time and an event and returns effects for the runtime to carry out.
// It keeps these invariants:
//
//   - A job is answered once, and only when each task is settled. The answer is complete (every task done) or failed
//     (with the outcome, cause and reason of every task).
//   - A never-repeated task has at most one attempt that may have started. It gets a new attempt only after the
//     earlier one is known to be not run, now and for good.
//   - A task is reported as not run only if each of its attempts is known to be not run.
//   - A never-repeated job that holds an outcome other than done and failed is answered after that answer is stored
//     (Finish), so that no later holder of the claim can start what was reported as not run.
package job
