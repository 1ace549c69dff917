// Package admission decides whether a submission is accepted, and maintains the data for these decisions: run times,
// quotas and the retry budget.
//
// A submission is refused early when its owner is over its quota, when too many tasks already wait, or when its deadline
// cannot be met according to the observed run times. Each refusal says when to try again. Times are arguments.
package admission
