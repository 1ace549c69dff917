// Package standin is a stand-in target: a small HTTP server with slots, configurable run times and injected faults that
// serves the interface of a real target. It writes each task start to a ledger, which tests read as an independent
// record.
package standin
