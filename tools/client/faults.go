package client

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"flamingohall.example/core/fault"
)

// errorBody is the body of an entry's error response.
type errorBody struct {
	Error struct {
		Kind         fault.Kind `json:"kind"`
		Message      string     `json:"message"`
		Remedy       string     `json:"remedy"`
		RetryAfterMS int64      `json:"retry_after_ms"`
	} `json:"error"`
}

// kindByStatus are the kinds of responses whose body names none.
var kindByStatus = map[int]fault.Kind{
	http.StatusBadRequest:            fault.Malformed,
	http.StatusUnprocessableEntity:   fault.Invalid,
	http.StatusRequestEntityTooLarge: fault.TooLarge,
	http.StatusNotFound:              fault.NotFound,
	http.StatusConflict:              fault.Conflict,
	http.StatusGone:                  fault.Expired,
	http.StatusTooManyRequests:       fault.Overloaded,
	http.StatusServiceUnavailable:    fault.Unavailable,
	http.StatusBadGateway:            fault.Unknown,
}

// faultOfResponse returns the fault that an error response stands for.
func faultOfResponse(status int, header http.Header, body []byte) *fault.Error {
	var read errorBody
	if err := json.Unmarshal(body, &read); err == nil && read.Error.Kind != "" {
		found := fault.New(read.Error.Kind, read.Error.Remedy, "%s", read.Error.Message)
		return found.After(time.Duration(read.Error.RetryAfterMS) * time.Millisecond)
	}
	kind, known := kindByStatus[status]
	if !known {
		kind = fault.Internal
	}
	found := fault.New(kind, "look at the log of the process that answered", "HTTP status %d", status)
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return found
	}
	return found.After(time.Duration(seconds) * time.Second)
}

// kindByCode are the kinds of twirp errors that name none.
var kindByCode = map[twirp.ErrorCode]fault.Kind{
	twirp.InvalidArgument:    fault.Invalid,
	twirp.Malformed:          fault.Malformed,
	twirp.OutOfRange:         fault.Invalid,
	twirp.NotFound:           fault.NotFound,
	twirp.AlreadyExists:      fault.Conflict,
	twirp.Aborted:            fault.Conflict,
	twirp.FailedPrecondition: fault.Conflict,
	twirp.DeadlineExceeded:   fault.Unavailable,
	twirp.Canceled:           fault.Unavailable,
	twirp.ResourceExhausted:  fault.Overloaded,
	twirp.Unavailable:        fault.Unavailable,
	twirp.BadRoute:           fault.Unavailable,
	twirp.Unknown:            fault.Unknown,
}

// Names under which a twirp error carries a fault.
const (
	metaKind   = "kind"
	metaRemedy = "remedy"
)

// faultOfTwirp returns the fault that a twirp client's error stands for.
func faultOfTwirp(err error) *fault.Error {
	var found twirp.Error
	if !errors.As(err, &found) {
		return fault.New(fault.Unavailable, "check --control and that the VM runs", "%v", err)
	}
	kind := fault.Kind(found.Meta(metaKind))
	if kind == "" {
		kind = kindByCode[found.Code()]
	}
	if kind == "" {
		kind = fault.Internal
	}
	if unreachable(found) {
		kind = fault.Unavailable
	}
	return fault.New(kind, found.Meta(metaRemedy), "%s", found.Msg())
}

// unreachable reports whether the error came from the connection, not from the service.
func unreachable(err twirp.Error) bool {
	return err.Code() == twirp.Internal && errors.Unwrap(err) != nil
}
