// Package fault defines the typed errors that all processes share. Each names its kind, what went wrong and the remedy.
package fault

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Kind classifies an error for callers, who may branch on it.
type Kind string

// Kinds of errors, each with the HTTP status that package http serves for it.
const (
	// Malformed means that the request or file can't be read: 400.
	Malformed Kind = "malformed"
	// Invalid means that it can be read but breaks a rule: 422.
	Invalid Kind = "invalid"
	// TooLarge means that a stated size limit is exceeded: 413.
	TooLarge Kind = "too_large"
	// NotFound means that the thing named does not exist: 404.
	NotFound Kind = "not_found"
	// Conflict means that the thing named has changed or stands for something else: 409.
	Conflict Kind = "conflict"
	// Expired means that the deadline has passed: 410 from the API, nothing was started.
	Expired Kind = "expired"
	// Overloaded means that the request was refused for now and did not run: 429 with Retry-After.
	Overloaded Kind = "overloaded"
	// Unavailable means that a part of the system is away and the request did not run: 503 with Retry-After.
	Unavailable Kind = "unavailable"
	// Unknown means that nobody can tell whether it ran: 502.
	Unknown Kind = "unknown"
	// Fenced means that another holder has taken over: 409.
	Fenced Kind = "fenced"
	// Storage means that the data folder can't be trusted or written: the process stops using it.
	Storage Kind = "storage"
	// Internal means a defect in this program: 500.
	Internal Kind = "internal"
)

// Error is a fault with a remedy.
type Error struct {
	Kind Kind
	// Message says what is wrong, in the caller's words.
	Message string
	// Remedy says what the reader can do about it.
	Remedy string
	// RetryAfter is how long to wait before the next try; 0 when a retry won't help.
	RetryAfter time.Duration
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// New returns an error of a kind with its remedy. Format and args make the message.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Remedy: remedy, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that tells the caller when to come back.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *e
	copied.RetryAfter = wait
	return &copied
}

// Of returns the fault inside err, or an Internal one that wraps its text.
func Of(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(Internal, "report it with the log around this time", "%v", err)
}

// Is reports whether err holds a fault of the kind.
func Is(err error, kind Kind) bool {
	var found *Error
	return errors.As(err, &found) && found.Kind == kind
}
