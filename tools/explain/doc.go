// Package explain puts the log lines of several processes about one request into one account: what the request was
// answered with, what happened to its tasks, and what the processes knew of the workers that had them.
package explain
