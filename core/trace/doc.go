// Package trace writes and reads recordings of an aggregate: the events that it took, each with its time, and the
// effects that it returned. Since aggregates are pure, a recording replays to the same effects, and a test can hold it
// against stated outcomes.
//
// A recording is text, one JSON value a line: a header with the aggregate's name and options, then its steps.
package trace
