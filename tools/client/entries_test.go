package client

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"flamingohall.example/core/fault"
)

// newServer starts a server that answers every request with a status and a body, and returns its URL.
func newServer(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestEntries_TriesOthersOnlyForRetryableFaults(t *testing.T) {
	healthy := newServer(t, http.StatusOK, `{"state": "complete"}`)
	unavailable := newServer(t, http.StatusServiceUnavailable, `not JSON`)
	unknown := newServer(t, http.StatusNotFound, `{"error": {"kind": "not_found", "message": "none", "remedy": "look"}}`)
	busy := newServer(t, http.StatusTooManyRequests, `{"error": {"kind": "overloaded", "retry_after_ms": 1500}}`)
	cases := []struct {
		name           string
		first          string
		submit, status fault.Kind
	}{
		{"unavailable", unavailable, "", ""},
		{"nothing listens", "127.0.0.1:1", "", ""},
		{"unknown", unknown, fault.NotFound, ""},
		{"busy", busy, fault.Overloaded, fault.Overloaded},
	}
	for _, c := range cases {
		entries, err := NewEntries([]string{c.first, healthy})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := entries.Submit(t.Context(), &Submission{}, true); c.submit != kindOf(err) {
			t.Errorf("%s: submit got %v", c.name, err)
		}
		if _, err := entries.Status(t.Context(), "a/b", "c"); c.status != kindOf(err) {
			t.Errorf("%s: status got %v", c.name, err)
		}
	}
	only, _ := NewEntries([]string{unavailable})
	if _, err := only.Status(t.Context(), "a", "b"); fault.Of(err).RetryAfter != 2*time.Second {
		t.Errorf("the retry-after time is lost: %v", err)
	}
}

func kindOf(err error) fault.Kind {
	if err == nil {
		return ""
	}
	return fault.Of(err).Kind
}
