package client

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

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

// kindByStatus maps the HTTP status of a response to a kind of fault, if its body names none.
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

// faultOfResponse returns the fault that an error response describes.
func faultOfResponse(status int, header http.Header, body []byte) *fault.Error {
	var decoded errorBody
	if err := json.Unmarshal(body, &decoded); err == nil && decoded.Error.Kind != "" {
		failure := fault.New(decoded.Error.Kind, decoded.Error.Remedy, "%s", decoded.Error.Message)
		return failure.WithRetryAfter(time.Duration(decoded.Error.RetryAfterMS) * time.Millisecond)
	}
	kind, known := kindByStatus[status]
	if !known {
		kind = fault.Internal
	}
	failure := fault.New(kind, "look at the log of the process that answered", "HTTP status %d", status)
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return failure
	}
	return failure.WithRetryAfter(time.Duration(seconds) * time.Second)
}
