package runner_test

import (
	"net/http"
	"strconv"
	"testing"
)

// TestRetryAfterOfNativeServer guards against calls in the native dialect that reach
// a server which wants none, and against callers that are told to come back before.
func TestRetryAfterOfNativeServer(t *testing.T) {
	d := startDeployment(t, 1)
	for i, path := range []string{"/pause", "/", "/", "/note"} {
		resp, err := http.Get(d.url + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if outcome := resp.Header.Get("Sardine-Outcome"); resp.StatusCode != http.StatusServiceUnavailable || outcome != "rejected" {
			t.Errorf("call %d: got %d %s, want 503 rejected", i, resp.StatusCode, outcome)
		}
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		if err != nil || seconds < 20 { // The test may take some seconds.
			t.Errorf("call %d: got Retry-After %q, want the 30.5 s that the server asked for, less what has passed", i, resp.Header.Get("Retry-After"))
		}
	}
	if got := d.runCount.Load(); got != 1 {
		t.Errorf("got %d requests at the server, want only the one that it turned away", got)
	}
}
