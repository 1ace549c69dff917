// Package health distinguishes faulty targets from faulty jobs by comparing targets with each other.
//
// An OutlierDetector counts the failed tasks of each target and catalogue entry. It ejects a target that fails far more
// of its tasks than other targets fail of the same entries; an entry that fails everywhere ejects no target. The part of
// a pool that is ejected at a time is limited. When an ejection ends, the target is on probation and is given one
// repeatable task at a time: some successes readmit it, a failure ejects it for twice as long.
package health
