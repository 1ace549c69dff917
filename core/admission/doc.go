// Package admission decides whether a submission is taken, and keeps what these decisions learn from: run times, quotas
// and the budget of retries.
//
// A submission is refused early when its owner is over its quota, when too much waits already, or when its deadline
// can't be met by what is known of run times; each refusal tells when to come back. Times are arguments.
package admission
