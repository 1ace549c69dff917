// Package faultrpc carries fault.Error through twirp, so that kind, message, remedy and wait arrive as they were sent.
package faultrpc

import (
	"net"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"flamingohall.example/core/fault"
)

// Names of the fields in a twirp error's metadata.
const (
	metaKind       = "kind"
	metaRemedy     = "remedy"
	metaRetryAfter = "retry_after_ms"
)

// To returns the twirp error that carries err; nil stays nil.
func To(err error) error {
	if err == nil {
		return nil
	}
	found := fault.Of(err)
	made := twirp.NewError(code(found.Kind), found.Message)
	made = made.WithMeta(metaKind, string(found.Kind)).WithMeta(metaRemedy, found.Remedy)
	if found.RetryAfter > 0 {
		made = made.WithMeta(metaRetryAfter, strconv.FormatInt(found.RetryAfter.Milliseconds(), 10))
	}
	return made
}

// From returns the *fault.Error inside a call's error; nil stays nil. A connection that could not be opened is
// Unavailable; other errors of the connection are Unknown, as nobody can tell whether the call ran.
func From(err error) error {
	if err == nil {
		return nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fault.New(fault.Unavailable, "check that the process runs and can be reached", "%v", err)
	}
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return fault.New(fault.Unknown, "send the same request again", "%v", err)
	}
	kind := fault.Kind(failure.Meta(metaKind))
	if kind == "" {
		return fault.New(kindOf(failure.Code()), "send the same request again", "%s", failure.Msg())
	}
	made := fault.New(kind, failure.Meta(metaRemedy), "%s", failure.Msg())
	milliseconds, err := strconv.ParseInt(failure.Meta(metaRetryAfter), 10, 64)
	if err != nil {
		return made
	}
	return made.WithRetryAfter(time.Duration(milliseconds) * time.Millisecond)
}

func code(kind fault.Kind) twirp.ErrorCode {
	switch kind {
	case fault.Malformed, fault.Invalid, fault.TooLarge:
		return twirp.InvalidArgument
	case fault.NotFound:
		return twirp.NotFound
	case fault.Conflict, fault.Fenced:
		return twirp.FailedPrecondition
	case fault.Expired:
		return twirp.DeadlineExceeded
	case fault.Overloaded:
		return twirp.ResourceExhausted
	case fault.Unavailable:
		return twirp.Unavailable
	case fault.Unknown, fault.Storage, fault.Internal:
		return twirp.Internal
	}
	return twirp.Internal
}

// kindOf classifies errors that twirp itself made.
func kindOf(code twirp.ErrorCode) fault.Kind {
	switch code {
	case twirp.BadRoute, twirp.Malformed, twirp.InvalidArgument:
		return fault.Malformed
	case twirp.Unimplemented, twirp.NotFound:
		return fault.NotFound
	default:
		return fault.Unknown
	}
}
