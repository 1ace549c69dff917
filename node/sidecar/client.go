package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
	"flamingohall.example/core/target"
	"flamingohall.example/node/settings"
)

// Path and headers of the HTTP protocol between sidecar and target.
const (
	taskPath         = "/v1/tasks/"
	headerAttempt    = "Flamingohall-Attempt"
	headerEntry      = "Flamingohall-Entry"
	headerNotStarted = "Flamingohall-Not-Started"
)

const (
	dialTimeout = time.Second
	// idleConnTimeout is how long an unused connection is kept. It is short because a target may close a connection just
	// as it is reused, which leaves the outcome of a task unknown.
	idleConnTimeout = 2 * time.Second
	// Keep-alive probes detect connections whose other end no longer exists.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	maxResultBytes    = 4 << 20
	maxReasonBytes    = 300
)

// targetClient sends tasks to one target.
type targetClient struct {
	http   *http.Client
	dialer *net.Dialer
	base   string
	host   string
	// connected is set once the target has accepted a connection. answered is set by each answer to a task and cleared
	// by the watcher.
	connected atomic.Bool
	answered  atomic.Bool
}

func newTargetClient(options settings.Sidecar) (*targetClient, error) {
	parsed, err := url.Parse(options.TargetURL)
	if err != nil {
		return nil, fault.New(fault.Invalid, "write it like http://127.0.0.1:9000", "sidecar.target_url: %v", err)
	}
	host := parsed.Host
	if parsed.Port() == "" {
		host = net.JoinHostPort(parsed.Hostname(), "80")
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: options.Slots, MaxIdleConnsPerHost: options.Slots,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true,
	}
	return &targetClient{
		http:   &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		dialer: dialer, base: strings.TrimSuffix(options.TargetURL, "/") + taskPath, host: host,
	}, nil
}

// refuseRedirect makes the client return a redirect as the answer: following it would send the task twice.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (c *targetClient) close() {
	c.http.CloseIdleConnections()
}

// probe reports whether the target accepts a connection.
func (c *targetClient) probe(ctx context.Context) bool {
	connection, err := c.dialer.DialContext(ctx, "tcp", c.host)
	if err != nil {
		return false
	}
	_ = connection.Close()
	c.connected.Store(true)
	return true
}

// run sends one task and returns its outcome. unreachable is true when no connection could be opened.
func (c *targetClient) run(ctx context.Context, start target.Start) (finished target.Finished, unreachable bool) {
	finished = target.Finished{Job: start.Job, Index: start.Index, Attempt: start.Attempt}
	hasConn := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { hasConn = true },
	})
	request, err := c.request(traced, start)
	if err != nil {
		finished.Outcome, finished.Cause, finished.Reason = target.NotRun, target.CauseTask, err.Error()
		return finished, false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return c.callFailed(ctx, start, finished, hasConn, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		return c.callFailed(ctx, start, finished, true, err)
	}
	c.connected.Store(true)
	c.answered.Store(true)
	return readOutcome(finished, response, body), false
}

func (c *targetClient) request(ctx context.Context, start target.Start) (*http.Request, error) {
	address := c.base + start.Job.String() + "-" + strconv.FormatUint(uint64(start.Index), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(start.Payload))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerAttempt, strconv.FormatUint(uint64(start.Attempt), 10))
	request.Header.Set(headerEntry, start.Entry)
	return request, nil
}

// callFailed returns the outcome of a call that got no answer. Without a connection nothing was sent; otherwise the task
// may have run.
func (c *targetClient) callFailed(ctx context.Context, start target.Start, finished target.Finished, hasConn bool,
	err error,
) (target.Finished, bool) {
	finished.Cause = target.CauseTarget
	finished.Reason = clip(err.Error())
	if ctx.Err() != nil {
		finished.Cause = target.CauseDeadline
	}
	if isDialError(err) || !hasConn {
		finished.Outcome = target.NotRun
		return finished, ctx.Err() == nil
	}
	finished.Outcome = target.Failed
	if !start.Repeatable {
		finished.Outcome = target.Unknown
	}
	return finished, false
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// readOutcome translates the target's answer into an outcome.
func readOutcome(finished target.Finished, response *http.Response, body []byte) target.Finished {
	status := response.StatusCode
	switch {
	case status >= 200 && status < 300 && len(body) > maxResultBytes:
		finished.Outcome, finished.Cause = target.Failed, target.CauseTask
		finished.Reason = fmt.Sprintf("the task was done; its result exceeds %d bytes", maxResultBytes)
	case status >= 200 && status < 300:
		finished.Outcome, finished.Result = target.Done, body
	case status == http.StatusServiceUnavailable && response.Header.Get(headerNotStarted) == "true":
		finished.Outcome, finished.Cause, finished.Reason = target.NotRun, target.CauseBusy, "the target has no free slot"
	case status >= 400 && status < 500:
		finished.Outcome, finished.Cause, finished.Reason = target.Failed, target.CauseTask, answerText(status, body)
	default:
		finished.Outcome, finished.Cause, finished.Reason = target.Failed, target.CauseTarget, answerText(status, body)
	}
	return finished
}

func answerText(status int, body []byte) string {
	return clip(fmt.Sprintf("the target answered %d: %s", status, strings.TrimSpace(string(body))))
}

func clip(text string) string {
	if len(text) <= maxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxReasonBytes], "")
}

// readBody reads at most one byte more than a result may have, into a slice without spare capacity.
func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResultBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	return bytes.Clone(body), nil
}
