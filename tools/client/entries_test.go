package client

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"flamingohall.example/core/fault"
)

// answering serves every request with a status and a body.
func answering(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func TestEntries_TryOthersOnlyWhereThatHelps(t *testing.T) {
	whole := answering(t, http.StatusOK, `{"state": "complete"}`)
	away := answering(t, http.StatusServiceUnavailable, `not JSON`)
	unknown := answering(t, http.StatusNotFound, `{"error": {"kind": "not_found", "message": "none", "remedy": "look"}}`)
	busy := answering(t, http.StatusTooManyRequests, `{"error": {"kind": "overloaded", "retry_after_ms": 1500}}`)
	cases := []struct {
		name           string
		first          string
		submit, status fault.Kind
	}{
		{"away", away, "", ""},
		{"nothing listens", "127.0.0.1:1", "", ""},
		{"unknown", unknown, fault.NotFound, ""},
		{"busy", busy, fault.Overloaded, fault.Overloaded},
	}
	for _, c := range cases {
		entries, err := NewEntries([]string{c.first, whole})
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
	only, _ := NewEntries([]string{away})
	if _, err := only.Status(t.Context(), "a", "b"); fault.Of(err).RetryAfter != 2*time.Second {
		t.Errorf("the time to return is lost: %v", err)
	}
}

func kindOf(err error) fault.Kind {
	if err == nil {
		return ""
	}
	return fault.Of(err).Kind
}
