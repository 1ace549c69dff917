// Package faultrpc converts between fault.Error and twirp errors and preserves kind, message, remedy and retry delay.
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

// To converts err to a twirp error; nil stays nil.
func To(err error) error {
	if err == nil {
		return nil
	}
	f := fault.Of(err)
	converted := twirp.NewError(code(f.Kind), f.Message)
	converted = converted.WithMeta(metaKind, string(f.Kind)).WithMeta(metaRemedy, f.Remedy)
	if f.RetryAfter > 0 {
		converted = converted.WithMeta(metaRetryAfter, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
	}
	return converted
}

// From converts the error of a call to a *fault.Error; nil stays nil. A connection that could not be opened gives
// Unavailable. Other connection errors give Unknown, as the call may or may not have been executed.
func From(err error) error {
	if err == nil {
		return nil
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fault.New(fault.Unavailable, "check that the process runs and can be reached", "%v", err)
	}
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return fault.New(fault.Unknown, "send the same request again", "%v", err)
	}
	kind := fault.Kind(twirpErr.Meta(metaKind))
	if kind == "" {
		return fault.New(kindOf(twirpErr.Code()), "send the same request again", "%s", twirpErr.Msg())
	}
	converted := fault.New(kind, twirpErr.Meta(metaRemedy), "%s", twirpErr.Msg())
	milliseconds, err := strconv.ParseInt(twirpErr.Meta(metaRetryAfter), 10, 64)
	if err != nil {
		return converted
	}
	return converted.WithRetryAfter(time.Duration(milliseconds) * time.Millisecond)
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

// kindOf classifies errors that twirp itself generated.
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
