// Package work defines the messages between entries and sidecars about the tasks of one worker: offers, ends of runs,
// rejections and the worker's load. One frame carries everything that one side has to send at a time.
//
// Times in messages are durations in milliseconds, since the clocks of two machines are not comparable.
package work
