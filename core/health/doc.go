// Package health tells bad workers from jobs that can never run, by who else succeeded.
//
// A Judge counts for each target and catalogue entry how many tasks failed. A target is set aside when it fails far
// more of its tasks than the other targets fail of the same entries; tasks that fail everywhere condemn nobody. No
// more than a part of a pool is set aside at once. After a while a target is tried with one repeatable task at a time:
// some successes bring it back, a failure sets it aside for twice as long.
package health
