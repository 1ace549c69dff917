// Package losses says from the logs of all processes which jobs of a period were not served in time, and why. For comparison it
// plans the same jobs on the workers that were up, with everything known (core/bound).
package losses
