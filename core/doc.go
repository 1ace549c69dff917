// Package core is the root of the packages with the dispatcher's decision logic. They use no clock, network, disk or
// logger: time, randomness and messages are arguments, and effects are returned as values.
package core
