// Package claim decides which process may start the tasks of a job that must not be repeated, and keeps the answer to
// the caller of a finished job.
//
// A job has at most one holder at a time, the process of an entry, under an epoch that increases with each takeover.
// Epochs are log indexes, so a job that was forgotten and claimed again gets a larger epoch. A takeover names the epoch
// that it replaces and succeeds only if the holder is no longer live or its process was found to have ended. Of two
// concurrent takeovers, exactly one succeeds. Finish is accepted only under the current epoch.
//
// Retention: an answer is kept for Limits.AnswerMS, as long as all finished jobs with their answers fit in
// Limits.AnswerBytes. After that only a stub of the job remains, which prevents it from starting again. The stub is
// kept until Limits.RecordMS after the job's last change. When stubs and unfinished jobs fill Limits.RecordBytes, the
// oldest is evicted early if it has not changed for Limits.MinRecordMS. Otherwise new claims are rejected, since a job
// that is forgotten too early could start twice.
package claim
