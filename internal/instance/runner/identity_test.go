package runner_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/standin/breaker"
)

func issue(t *testing.T, d *deployment) string {
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

// run posts body to path and sends on what the caller got.
func (d *deployment) run(ctx context.Context, got chan<- string, path, body string) {
	got <- d.call(ctx, http.MethodPost, path, body, "")
}

// TestIdentified guards against a call that is lost or runs again when its
// caller hangs up during the first attempt and repeats it.
func TestIdentified(t *testing.T) {
	d := deploy(t, 1)
	d.breakers[0].SetFault(breaker.Fault{Kind: breaker.HoldBytes, RequestBytes: -1}) // Holds the answer back.
	d.id = issue(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan string)
	go d.run(ctx, got, "/note", "b")
	<-d.arrived
	cancel()
	if got, want := <-got, "no answer"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	close(d.breakers[0].Resume)
	for range 2 {
		if got, want := d.call(t.Context(), http.MethodPost, "/note", "b", ""), "200 noted"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got := d.runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}
