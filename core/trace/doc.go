// Package trace writes and reads recordings of a state machine (an aggregate): its input events, each with its time,
// and the effects that it returned. An aggregate depends on nothing but its options, its events and their times, so
// replaying a recording returns the same effects, and a test can compare them with the recorded ones.
//
// A recording has one JSON value per line: a header with the name and options of the aggregate, then its steps.
package trace
