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
		return found.WithRetryAfter(time.Duration(read.Error.RetryAfterMS) * time.Millisecond)
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
	return found.WithRetryAfter(time.Duration(seconds) * time.Second)
}
