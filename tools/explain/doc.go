// Package explain merges the log lines of several processes about one request into one timeline: how the request was
// answered, what happened to its tasks, and the health of the workers that ran them.
package explain
