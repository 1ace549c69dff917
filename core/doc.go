// Package core is the root of the decision packages: aggregates with their own rules that import no clock, network,
// disk or logger. Time, randomness and messages come in as arguments, effects go out as values.
package core
