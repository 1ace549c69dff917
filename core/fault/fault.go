// Package fault defines the typed errors that all processes share. Each has a kind, a message and a remedy.
package fault

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies an error, so that callers can branch on it.
type Kind string

// Kinds of errors, each with its HTTP status in the API of an entry.
const (
	// Malformed means that the request or file can't be parsed: 400.
	Malformed Kind = "malformed"
	// Invalid means that the request or file can be parsed but violates a rule: 422.
	Invalid Kind = "invalid"
	// TooLarge means that a size limit is exceeded: 413.
	TooLarge Kind = "too_large"
	// NotFound means that the named object does not exist: 404.
	NotFound Kind = "not_found"
	// Conflict means that the named object has changed, or that its name is in use for another one: 409.
	Conflict Kind = "conflict"
	// Expired means that the deadline has passed, or that the job was answered before and its answer is no longer kept.
	// The request started nothing: 410.
	Expired Kind = "expired"
	// Overloaded means that the request was refused for lack of capacity and did not run: 429 with Retry-After.
	Overloaded Kind = "overloaded"
	// Unavailable means that a required component is unavailable and the request did not run: 503 with Retry-After.
	Unavailable Kind = "unavailable"
	// Unknown means that it can't be determined whether the request ran: 502.
	Unknown Kind = "unknown"
	// Fenced means that another holder has taken over the claim or the node id: 409.
	Fenced Kind = "fenced"
	// Storage means that the data folder can't be trusted or can't be written: 500.
	Storage Kind = "storage"
	// Internal means a defect of this program: 500.
	Internal Kind = "internal"
)

// Error is a typed error with a remedy.
type Error struct {
	Kind Kind
	// Message says what is wrong, in terms that the caller knows.
	Message string
	// Remedy says what the caller can do about it.
	Remedy string
	// RetryAfter is how long to wait before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// New returns an error of a kind. Format and args make up the message, as in fmt.Sprintf.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of the error with RetryAfter set to wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *e
	copied.RetryAfter = wait
	return &copied
}

// Of returns the *Error in the chain of err, or else an Internal one with the text of err.
func Of(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, "report it with the log around this time", "%v", err)
}

// Is reports whether the chain of err contains an *Error of the kind.
func Is(err error, kind Kind) bool {
	var found *Error
	return errors.As(err, &found) && found.Kind == kind
}
