package runner_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/standin/injector"
)

// issueKey requests a new idempotency key from the instance.
func issueKey(t *testing.T, d *deployment) string {
	resp, err := http.Get(strings.TrimSuffix(d.url, "/s") + "/sardine/id")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(text))
}

// sendCallAndReport posts body to path and sends the description of the response to got.
func (d *deployment) sendCallAndReport(ctx context.Context, got chan<- string, path, body string) {
	got <- d.sendCall(ctx, http.MethodPost, path, body, "")
}

// TestRepeatedIdentifiedCall guards against an identified call that is lost or runs
// again when its caller closes the connection during the first attempt and repeats
// the call.
func TestRepeatedIdentifiedCall(t *testing.T) {
	d := startDeployment(t, 1)
	d.injectors[0].SetFault(injector.Fault{Kind: injector.HoldBytes, RequestBytes: -1}) // Delays the response.
	d.idempotencyKey = issueKey(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan string)
	go d.sendCallAndReport(ctx, got, "/note", "b")
	<-d.arrived
	cancel()
	if got, want := <-got, "no answer"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	close(d.injectors[0].Resume)
	for range 2 {
		if got, want := d.sendCall(t.Context(), http.MethodPost, "/note", "b", ""), "200 noted"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := d.runCount.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}
