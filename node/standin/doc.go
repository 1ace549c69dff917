// Package standin is a stand-in target: a small HTTP server with slots, run times and fault knobs that is reached as a
// real target would be. Each start is written to a ledger, which tests read as an independent witness.
package standin
