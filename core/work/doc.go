// Package work holds what an entry and a sidecar tell each other about the tasks of one worker: offers, ends, refusals
// and the worker's load. One frame carries everything that one side has to say at a time.
//
// Times in messages are spans, in milliseconds, since the clocks of two machines have nothing in common.
package work
