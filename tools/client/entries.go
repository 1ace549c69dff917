package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"

	"flamingohall.example/core/burn"
	"flamingohall.example/core/fault"
)

// MaxAnswerBytes bounds how much of a response body is read.
const MaxAnswerBytes = 64 << 20

// submissionsPath is the path for new submissions; the paths of single submissions begin with it.
const submissionsPath = "/v1/submissions"

// Entries is a client of the callers' API. It tries the entries in turn, which is safe because the key of a submission
// makes it idempotent.
type Entries struct {
	urls []string
	http *http.Client
}

// NewEntries returns a client of the entries at addresses (host:port or URLs).
func NewEntries(addresses []string) (*Entries, error) {
	if len(addresses) == 0 {
		return nil, fault.New(fault.Malformed, "give --entries or set FLAMINGOHALL_ENTRIES", "no entry is named")
	}
	entries := &Entries{http: &http.Client{Transport: newTransport()}}
	for _, address := range addresses {
		entries.urls = append(entries.urls, baseURL(address))
	}
	return entries, nil
}

// At returns a client of only the entry at position, modulo the number of entries.
func (e *Entries) At(position int) *Entries {
	return &Entries{urls: []string{e.urls[position%len(e.urls)]}, http: e.http}
}

// Count returns the number of entries.
func (e *Entries) Count() int {
	return len(e.urls)
}

// Submit sends a submission. With wait it returns the final answer, otherwise the state when the job was accepted.
func (e *Entries) Submit(ctx context.Context, submission *Submission, wait bool) (*Answer, error) {
	body, err := json.Marshal(submission)
	if err != nil {
		return nil, fault.New(fault.Malformed, "give payloads that are JSON", "submission: %v", err)
	}
	path := submissionsPath
	if !wait {
		path += "?wait=false"
	}
	return e.answer(ctx, http.MethodPost, path, body)
}

// Status returns the state of a submission. It asks the entries in turn, since only some may know the submission.
func (e *Entries) Status(ctx context.Context, owner, key string) (*Answer, error) {
	return e.answer(ctx, http.MethodGet, submissionPath(owner, key), nil)
}

// Cancel cancels a submission and returns its state.
func (e *Entries) Cancel(ctx context.Context, owner, key string) (*Answer, error) {
	return e.answer(ctx, http.MethodPost, submissionPath(owner, key)+"/cancel", nil)
}

// Burn returns the merged burn reports of all entries. It fails if any entry doesn't answer.
func (e *Entries) Burn(ctx context.Context) (burn.Report, error) {
	reports := make([]burn.Report, 0, len(e.urls))
	for position := range e.urls {
		var report burn.Report
		body, err := e.At(position).try(ctx, http.MethodGet, "/v1/burn", nil)
		if err != nil {
			return burn.Report{}, err
		}
		if err := json.Unmarshal(body, &report); err != nil {
			return burn.Report{}, decodeError(err)
		}
		reports = append(reports, report)
	}
	return burn.Merge(reports...), nil
}

func submissionPath(owner, key string) string {
	return submissionsPath + "/" + url.PathEscape(owner) + "/" + url.PathEscape(key)
}

func (e *Entries) answer(ctx context.Context, method, path string, body []byte) (*Answer, error) {
	text, err := e.try(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	answer := new(Answer)
	if err := json.Unmarshal(text, answer); err != nil {
		return nil, decodeError(err)
	}
	return answer, nil
}

func decodeError(err error) error {
	return fault.New(fault.Internal, "check that the address is an entry's callers' address", "answer: %v", err)
}

// try sends a request to the entries in turn until one answers or returns a fault that no other entry can avoid.
func (e *Entries) try(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	var failures []string
	var last *fault.Error
	for _, base := range e.urls {
		text, err := e.send(ctx, method, base+path, body)
		if err == nil {
			return text, nil
		}
		last = fault.Of(err)
		if !tryOthers(last.Kind, path) {
			return nil, last
		}
		failures = append(failures, base+": "+last.Error())
	}
	if len(failures) == 1 || last.Kind == fault.NotFound {
		return nil, last
	}
	return nil, fault.New(fault.Unavailable, "check --entries and that an entry runs",
		"no entry answered: %s", strings.Join(failures, ", ")).WithRetryAfter(last.RetryAfter)
}

// tryOthers reports whether another entry may answer a request that failed with this kind of fault. A submission that one
// entry doesn't know may be known to another.
func tryOthers(kind fault.Kind, path string) bool {
	aboutSubmission := strings.HasPrefix(path, submissionsPath+"/")
	return kind == fault.Unavailable || kind == fault.NotFound && aboutSubmission
}

// send sends one request. A failed connection is fault.Unavailable, since the key makes a retry safe even if the request
// arrived.
func (e *Entries) send(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Malformed, "write addresses as host:port", "entry address: %v", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := e.http.Do(request)
	if err != nil {
		return nil, connectionFault(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes))
	if err != nil {
		return nil, connectionFault(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, faultOfResponse(response.StatusCode, response.Header, text)
	}
	return text, nil
}

func connectionFault(err error) *fault.Error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return fault.New(fault.Unknown, "ask for the status or submit again with the same key", "no answer in time: %v", err)
	}
	return fault.New(fault.Unavailable, "submit again with the same key", "connection: %v", err)
}
