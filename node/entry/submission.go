package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"flamingohall.example/core/catalogue"
	"flamingohall.example/core/fault"
	"flamingohall.example/core/job"
	"flamingohall.example/node/jsonscan"
)

// Limits of a submission.
const (
	maxNameBytes = 256
	// jobIDBytes is the length of the prefix of the digest of owner and key that forms a job's id.
	jobIDBytes = 16
)

// submission is the body of POST /v1/submissions.
type submission struct {
	Owner string `json:"owner"`
	Entry string `json:"entry"`
	Key   string `json:"key"`
	// DeadlineMS is the time until the deadline, in milliseconds; nil means that of the catalogue entry. It must be
	// positive.
	DeadlineMS *int64           `json:"deadline_ms"`
	Tasks      []taskSubmission `json:"tasks"`
}

type taskSubmission struct {
	Payload json.RawMessage `json:"payload"`
	// ExpectedRunMS is the caller's estimate of the run time, in milliseconds; 0 means that of the catalogue entry.
	ExpectedRunMS int64 `json:"expected_run_ms"`
}

// accepted is a submission that passed validation, with what the catalogue says about it.
type accepted struct {
	submission
	id       string
	digest   [sha256.Size]byte
	entry    catalogue.Entry
	owner    catalogue.Owner
	revision uint64
	deadline time.Duration
}

// decodeSubmission decodes a request body and checks it as far as possible without the catalogue. Its errors are
// *fault.Error.
func decodeSubmission(body []byte) (submission, error) {
	var s submission
	const depthOfTasks = 2
	if count := jsonscan.LongestList(body, depthOfTasks); count > catalogue.MaxTasksPerJob {
		return s, tooManyTasks(count)
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, fault.New(fault.Malformed, "see docs/API.md for the shape of a submission", "body: %v", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return s, fault.New(fault.Malformed, "send one JSON object", "body: something follows the JSON object")
	}
	return s, s.check()
}

// check validates what does not depend on the catalogue. Its errors are *fault.Error.
func (s *submission) check() error {
	switch {
	case s.Owner == "" || s.Entry == "":
		return fault.New(fault.Invalid, "name the owner and the catalogue entry", "owner or entry is missing")
	case s.Key == "":
		return fault.New(fault.Invalid, "give each submission a key of its own and use it again to resubmit",
			"key is missing")
	case len(s.Owner) > maxNameBytes || len(s.Entry) > maxNameBytes || len(s.Key) > maxNameBytes:
		return fault.New(fault.Invalid, "shorten it", "owner, entry or key exceeds %d bytes", maxNameBytes)
	case len(s.Tasks) == 0:
		return fault.New(fault.Invalid, "send one task or more", "tasks is empty")
	case len(s.Tasks) > catalogue.MaxTasksPerJob:
		return tooManyTasks(len(s.Tasks))
	}
	return s.checkTimes()
}

func tooManyTasks(count int) *fault.Error {
	return fault.New(fault.Invalid, "split the job", "%d tasks exceed the bound of %d", count, catalogue.MaxTasksPerJob)
}

func (s *submission) checkTimes() error {
	if s.DeadlineMS != nil && *s.DeadlineMS <= 0 {
		return fault.New(fault.Expired, "give deadline_ms as milliseconds from now",
			"the deadline has passed; nothing was started")
	}
	if s.DeadlineMS != nil && *s.DeadlineMS > catalogue.MaxDeadlineMS {
		return fault.New(fault.Invalid, "shorten it", "deadline_ms exceeds %d", catalogue.MaxDeadlineMS)
	}
	for i := range s.Tasks {
		if ms := s.Tasks[i].ExpectedRunMS; ms < 0 || ms > catalogue.MaxDeadlineMS {
			return fault.New(fault.Invalid, "give milliseconds, or leave it out",
				"task %d: expected_run_ms is out of range", i)
		}
	}
	return nil
}

// accept validates a submission against the catalogue in force. Its errors are *fault.Error.
func (s submission) accept(doc catalogue.Document, revision uint64) (*accepted, error) {
	a := &accepted{submission: s, revision: revision}
	var known bool
	if a.owner, known = doc.Owner(s.Owner); !known {
		return nil, fault.New(fault.NotFound, "have an operator add it to the catalogue", "owner %q is not known", s.Owner)
	}
	if a.entry, known = doc.Entry(s.Entry); !known {
		return nil, fault.New(fault.NotFound, "have an operator add it to the catalogue", "entry %q is not known", s.Entry)
	}
	if a.entry.Owner != s.Owner {
		return nil, fault.New(fault.Invalid, "submit it as that owner, or name an entry of your own",
			"entry %q belongs to owner %q", s.Entry, a.entry.Owner)
	}
	if len(s.Tasks) > a.entry.MaxTasks {
		return nil, fault.New(fault.Invalid, "split the job", "%d tasks exceed the entry's bound of %d",
			len(s.Tasks), a.entry.MaxTasks)
	}
	a.deadline = time.Duration(a.entry.DeadlineMS) * time.Millisecond
	if s.DeadlineMS != nil {
		a.deadline = time.Duration(*s.DeadlineMS) * time.Millisecond
	}
	a.id = jobID(s.Owner, s.Key)
	a.computeDigest()
	return a, nil
}

// computeDigest compacts the payloads and digests them with owner and entry. White space between JSON values makes no
// difference to the digest.
func (a *accepted) computeDigest() {
	hash := sha256.New()
	writeField(hash, []byte(a.Owner))
	writeField(hash, []byte(a.Entry))
	var compact bytes.Buffer
	for i := range a.Tasks {
		compact.Reset()
		if err := json.Compact(&compact, a.Tasks[i].Payload); err == nil {
			a.Tasks[i].Payload = bytes.Clone(compact.Bytes())
		}
		writeField(hash, a.Tasks[i].Payload)
	}
	hash.Sum(a.digest[:0])
}

// isRepeatable reports whether the tasks may be started more than once.
func (a *accepted) isRepeatable() bool {
	return a.entry.Class == catalogue.Repeatable
}

// taskSpecs returns the tasks as core/job expects them.
func (a *accepted) taskSpecs() []job.TaskSpec {
	specs := make([]job.TaskSpec, len(a.Tasks))
	for i, task := range a.Tasks {
		specs[i] = job.TaskSpec{Payload: task.Payload, ExpectedRun: a.declared(i)}
	}
	return specs
}

// declared returns the declared run time of a task: that of the caller, or else that of the catalogue entry.
func (a *accepted) declared(index int) time.Duration {
	if ms := a.Tasks[index].ExpectedRunMS; ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return time.Duration(a.entry.ExpectedRunMS) * time.Millisecond
}

// jobID returns the id of the job that owner and key identify.
func jobID(owner, key string) string {
	hash := sha256.New()
	writeField(hash, []byte(owner))
	writeField(hash, []byte(key))
	return hex.EncodeToString(hash.Sum(nil)[:jobIDBytes])
}

// writeField writes a field after its length, so that no two lists of fields have the same encoding.
func writeField(out io.Writer, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	// The callers pass a hash, which never returns an error.
	_, _ = out.Write(length[:])
	_, _ = out.Write(field)
}
