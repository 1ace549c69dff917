// Package systemtest holds tests that run the system as separate processes and kill, freeze or cut them off. The
// stand-in targets' ledgers are the independent witness of what started.
package systemtest
