// Package claim decides who may start the tasks of a job that must not repeat, and keeps the answer of a finished one.
//
// A job has at most one holder at a time, an entry's process, under an epoch that grows with each takeover. Epochs are
// log indexes, so that a job that was forgotten and claimed anew gets a larger one. A takeover names the epoch it saw
// and succeeds only when the holder is no longer live or its process was found ended, so that of two entries that race
// exactly one wins. Finish counts under the current epoch only.
//
// Retention: an answer is kept for Limits.AnswerMS and while all answered jobs fit in Limits.AnswerBytes. Then the job
// shrinks to a stub, which keeps it from starting again and is kept for Limits.RecordMS after its last change. When jobs
// without an answer fill Limits.RecordBytes, the oldest goes early if it has been untouched for Limits.MinRecordMS;
// otherwise a new claim is refused, as forgetting a young job could start it twice.
package claim
