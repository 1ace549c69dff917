// Package systemtest tests the system as separate processes, which the tests kill, freeze and restart. The ledgers of the
// stand-in targets are an independent record of the tasks that started.
package systemtest
