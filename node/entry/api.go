package entry

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/kataras/iris/v12"

	"flamingohall.example/core/fault"
	"flamingohall.example/node/intake"
	"flamingohall.example/node/link"
	"flamingohall.example/node/rpc"
)

const (
	submissionsPath = "/v1/submissions/"
	cancelSuffix    = "/cancel"
	contentJSON     = "application/json; charset=utf-8"
	// peerTimeout limits a call to another entry.
	peerTimeout = 500 * time.Millisecond
)

// handler returns the handler of the callers' API.
func (e *Entry) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutPathCorrection, iris.WithoutBodyConsumptionOnUnmarshal,
		iris.WithOptimizations)
	app.Post("/v1/submissions", e.serveSubmit)
	app.Get("/v1/submissions", e.serveStatus)
	app.Get(submissionsPath+"{rest:path}", e.serveStatus)
	app.Post(submissionsPath+"{rest:path}", e.serveCancel)
	app.Get("/v1/burn", e.serveBurn)
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("alive\n") })
	app.Get("/readyz", e.serveReady)
	app.OnErrorCode(http.StatusNotFound, func(ctx iris.Context) {
		writeFault(ctx, fault.New(fault.NotFound, "see docs/API.md for the paths", "no such path"))
	})
	app.OnErrorCode(http.StatusMethodNotAllowed, func(ctx iris.Context) {
		writeFault(ctx, fault.New(fault.NotFound, "see docs/API.md for the paths", "no such method here"))
	})
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "callers' API")
	}
	return app, nil
}

func (e *Entry) serveReady(ctx iris.Context) {
	if err := e.Ready(); err != nil {
		writeFault(ctx, fault.Of(err).WithRetryAfter(noTargetRetryAfter))
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

// serveBurn returns the burn rates of the service level objectives, as measured by this entry.
func (e *Entry) serveBurn(ctx iris.Context) {
	view := e.follower.View()
	if view == nil {
		noState := fault.New(fault.Unavailable, "try again, or ask another entry", "the entry has no state from control yet")
		writeFault(ctx, noState.WithRetryAfter(noTargetRetryAfter))
		return
	}
	report, ok := e.loop.burnReport(ctx.Request().Context(), view.Catalogue)
	if !ok {
		return
	}
	body, err := json.Marshal(report)
	if err != nil {
		writeFault(ctx, fault.Of(err))
		return
	}
	writeJSON(ctx, http.StatusOK, body)
}

// serveSubmit accepts a submission and responds when the job has ended; with wait=false it responds at once.
func (e *Entry) serveSubmit(ctx iris.Context) {
	wait, err := parseWait(ctx.URLParam("wait"))
	if err != nil {
		writeFault(ctx, fault.Of(err))
		return
	}
	a, err := e.readSubmission(ctx)
	if err != nil {
		writeFault(ctx, fault.Of(err))
		return
	}
	r, refusal := e.loop.submit(ctx.Request().Context(), a)
	if refusal != nil {
		writeFault(ctx, refusal)
		return
	}
	if !wait {
		e.writeState(ctx, a.id, r)
		return
	}
	select {
	case <-r.done:
		writeRecord(ctx, r)
	case <-ctx.Request().Context().Done():
	}
}

func parseWait(text string) (bool, error) {
	if text == "" {
		return true, nil
	}
	wait, err := strconv.ParseBool(text)
	if err != nil {
		return false, fault.New(fault.Invalid, "write wait=true or wait=false", "wait is %q", text)
	}
	return wait, nil
}

// readSubmission reads, decodes and validates a submission. Its errors are *fault.Error.
func (e *Entry) readSubmission(ctx iris.Context) (*accepted, error) {
	body, err := intake.ReadBody(ctx.Request(), int64(e.file.Entry.MaxBodyBytes))
	if err != nil {
		ctx.Header("Connection", "close")
		return nil, err
	}
	s, err := decodeSubmission(body)
	if err != nil {
		return nil, err
	}
	view := e.follower.View()
	if view == nil {
		return nil, fault.New(fault.Unavailable, "use another entry, or come back later",
			"this entry has no confirmed catalogue yet; nothing was started").WithRetryAfter(noTargetRetryAfter)
	}
	return s.accept(view.Catalogue, view.Revision)
}

// serveStatus returns the state of a submission at this entry or, if it is unknown here, at another one.
func (e *Entry) serveStatus(ctx iris.Context) {
	name, err := parseSubmissionID(ctx, "")
	if err != nil {
		writeFault(ctx, fault.Of(err))
		return
	}
	id := jobID(name.owner, name.key)
	state := e.loop.lookup(ctx.Request().Context(), id)
	if state.record != nil {
		writeLookup(ctx, state, http.StatusOK)
		return
	}
	var silent []string
	for _, peer := range e.peers() {
		request := &rpc.AwaitRequest{JobId: id}
		response, err := link.Call(ctx.Request().Context(), peerTimeout, e.links.Peer(peer).Await, request)
		if err != nil {
			silent = append(silent, peer)
			continue
		}
		if !response.GetKnown() {
			continue
		}
		if response.GetFinished() {
			writeJSON(ctx, http.StatusOK, response.GetAnswer())
			return
		}
		running := &answer{Job: id, Owner: name.owner, Key: name.key, State: stateRunning, Tasks: []taskAnswer{}}
		writeJSON(ctx, http.StatusOK, running.encode())
		return
	}
	writeFault(ctx, unknownKey(name, silent))
}

// unknownKey returns the error for a submission that no entry knows. silent lists the entries that did not answer, which
// may know it.
func unknownKey(name submissionID, silent []string) *fault.Error {
	if len(silent) > 0 {
		return fault.New(fault.Unavailable, "try again", "the entries %s did not answer, and the others do not know the submission",
			strings.Join(silent, ", ")).WithRetryAfter(noTargetRetryAfter)
	}
	return fault.New(fault.NotFound, "check owner and key, or submit it: the key is free, or its answer was forgotten",
		"no submission of owner %q under key %q is known here", name.owner, name.key)
}

// serveCancel cancels a submission at this entry or, if it is unknown here, at another one.
func (e *Entry) serveCancel(ctx iris.Context) {
	name, err := parseSubmissionID(ctx, cancelSuffix)
	if err != nil {
		writeFault(ctx, fault.Of(err))
		return
	}
	id := jobID(name.owner, name.key)
	if r := e.loop.cancel(ctx.Request().Context(), id); r != nil {
		e.writeState(ctx, id, r)
		return
	}
	var silent []string
	for _, peer := range e.peers() {
		request := &rpc.CancelJobRequest{JobId: id}
		response, err := link.Call(ctx.Request().Context(), peerTimeout, e.links.Peer(peer).CancelJob, request)
		if err != nil {
			silent = append(silent, peer)
		}
		if err == nil && response.GetKnown() {
			running := &answer{Job: id, Owner: name.owner, Key: name.key, State: stateRunning, Tasks: []taskAnswer{}}
			writeJSON(ctx, http.StatusAccepted, running.encode())
			return
		}
	}
	writeFault(ctx, unknownKey(name, silent))
}

// peers returns the addresses of the other entries.
func (e *Entry) peers() []string {
	view := e.follower.View()
	if view == nil {
		return nil
	}
	var addresses []string
	for _, node := range view.Nodes {
		if node.GetRole() == rpc.Role_ROLE_ENTRY && node.GetId() != e.file.Node.ID {
			addresses = append(addresses, node.GetAddress())
		}
	}
	return addresses
}

// submissionID identifies a submission in the API.
type submissionID struct {
	owner string
	key   string
}

// parseSubmissionID reads owner and key from the path, whose segments are escaped, or from the query. The path must end
// with suffix. Its errors are *fault.Error.
func parseSubmissionID(ctx iris.Context, suffix string) (submissionID, error) {
	query := ctx.Request().URL.Query()
	path := strings.TrimPrefix(ctx.Request().URL.EscapedPath(), strings.TrimSuffix(submissionsPath, "/"))
	rest, hasSuffix := strings.CutSuffix(path, suffix)
	if !hasSuffix {
		return submissionID{}, fault.New(fault.NotFound, "see docs/API.md for the paths", "no such path")
	}
	name := submissionID{owner: query.Get("owner"), key: query.Get("key")}
	if rest != "" && rest != "/" {
		owner, key, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
		var ownerErr, keyErr error
		name.owner, ownerErr = url.PathUnescape(owner)
		name.key, keyErr = url.PathUnescape(key)
		if ownerErr != nil || keyErr != nil || strings.Contains(key, "/") {
			return name, fault.New(fault.Malformed, "escape slashes in owner and key as %2F", "path: can't be read")
		}
	}
	if name.owner == "" || name.key == "" {
		return name, fault.New(fault.Invalid, "name both, in the path or as ?owner=&key=", "owner or key is missing")
	}
	return name, nil
}

// writeState writes the final answer if there is one, otherwise the current state with status 202.
func (e *Entry) writeState(ctx iris.Context, id string, r *record) {
	state := e.loop.lookup(ctx.Request().Context(), id)
	if state.record == nil {
		state.record = r
	}
	writeLookup(ctx, state, http.StatusAccepted)
}

// writeLookup writes the current state with the given status; the final answer of a job that has ended has status 200.
func writeLookup(ctx iris.Context, state lookupResult, status int) {
	if state.answer != nil {
		writeJSON(ctx, status, state.answer.encode())
		return
	}
	writeRecord(ctx, state.record)
}

// writeRecord waits until the record is done and writes its answer or failure.
func writeRecord(ctx iris.Context, r *record) {
	<-r.done
	if r.failure != nil {
		writeFault(ctx, r.failure)
		return
	}
	writeJSON(ctx, http.StatusOK, r.result.bytes())
}

func writeJSON(ctx iris.Context, status int, body []byte) {
	header := ctx.ResponseWriter().Header()
	header.Set("Content-Type", contentJSON)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	ctx.StatusCode(status)
	_, _ = ctx.Write(body)
}

// errorBody is the body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind         fault.Kind `json:"kind"`
	Message      string     `json:"message"`
	Remedy       string     `json:"remedy"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
}

// statuses maps the kinds of faults to HTTP status codes; other kinds are written as 500.
var statuses = map[fault.Kind]int{
	fault.Malformed:   http.StatusBadRequest,
	fault.Invalid:     http.StatusUnprocessableEntity,
	fault.TooLarge:    http.StatusRequestEntityTooLarge,
	fault.NotFound:    http.StatusNotFound,
	fault.Conflict:    http.StatusConflict,
	fault.Expired:     http.StatusGone,
	fault.Overloaded:  http.StatusTooManyRequests,
	fault.Unavailable: http.StatusServiceUnavailable,
	fault.Unknown:     http.StatusBadGateway,
	fault.Fenced:      http.StatusConflict,
}

func writeFault(ctx iris.Context, failure *fault.Error) {
	status, known := statuses[failure.Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	if failure.RetryAfter > 0 {
		seconds := int64((failure.RetryAfter + time.Second - 1) / time.Second)
		ctx.ResponseWriter().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	// Encoding cannot fail: errorBody holds only strings and an integer.
	body, _ := json.Marshal(errorBody{Error: errorDetail{
		Kind: failure.Kind, Message: failure.Message, Remedy: failure.Remedy,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
	}})
	writeJSON(ctx, status, body)
}
