package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// In a planned stop readiness fails first, submissions are served during the balancer's grace period and refused
// afterwards, and jobs in progress are answered.
func TestStop_AnswersJobsInProgress(t *testing.T) {
	s := newFakeSidecar("t1", 300*time.Millisecond)
	e := startTestEntry(t, s)
	e.file.Node.BalancerGraceMS = 100
	answers := make(chan int, 2)
	send := func(key string) {
		response, err := http.Post("http://"+e.Addr()+"/v1/submissions", "", strings.NewReader(body("commit", key, 1)))
		if err != nil {
			answers <- 0
			return
		}
		_ = response.Body.Close()
		answers <- response.StatusCode
	}
	go send("before")
	for totalStarts(s) == 0 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- e.Stop(context.Background()) }()
	for e.Ready() == nil {
		time.Sleep(time.Millisecond)
	}
	if status, _, _ := get(t, e, "/readyz"); status != http.StatusServiceUnavailable {
		t.Fatalf("readiness is %d", status)
	}
	go send("during")
	for !e.refusing.Load() {
		time.Sleep(time.Millisecond)
	}
	status, header, text := post(t, e, "/v1/submissions", body("commit", "after", 1))
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Fatalf("refusal is %d %s", status, text)
	}
	if a, b := <-answers, <-answers; a != http.StatusOK || b != http.StatusOK {
		t.Fatalf("answers are %d and %d", a, b)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// A caller that disconnects does not cancel its job.
func TestSubmit_CallerDisconnects(t *testing.T) {
	s := newFakeSidecar("t1", 50*time.Millisecond)
	e := startTestEntry(t, s)
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr()+"/v1/submissions",
		strings.NewReader(body("commit", "k", 2)))
	if err != nil {
		t.Fatal(err)
	}
	disconnected := make(chan struct{})
	go func() {
		defer close(disconnected)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	for totalStarts(s) == 0 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	<-disconnected
	_, _, text := post(t, e, "/v1/submissions", body("commit", "k", 2))
	if a := decode(t, text); a.State != stateComplete || checkStarts(t, s) != 2 {
		t.Fatalf("answer is %s", text)
	}
}

func TestSubmit_WithoutWaiting(t *testing.T) {
	e := startTestEntry(t, newFakeSidecar("t1", 20*time.Millisecond))
	status, _, text := post(t, e, "/v1/submissions?wait=false", body("check", "k", 3))
	if a := decode(t, text); status != http.StatusAccepted || a.State != stateRunning || len(a.Tasks) != 3 {
		t.Fatalf("%d %s", status, text)
	}
	for {
		_, _, text = get(t, e, "/v1/submissions?owner=team%2Fa&key=k")
		if decode(t, text).State != stateRunning {
			break
		}
	}
	checkComplete(t, text, 3)
}
