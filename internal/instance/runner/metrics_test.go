package runner_test

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"

	"sardinelever.example/sardinelever/internal/standin/injector"
)

// TestCallMetrics guards against calls that are missing from the metrics or counted
// with another outcome than the one reported to the caller.
func TestCallMetrics(t *testing.T) {
	d := startDeployment(t, 1)
	// The fault applies to new connections, and calls may use more than one, so it is
	// set before the first. Only the last response is long enough for it.
	d.injectors[0].SetFault(injector.Fault{Kind: injector.ResetConn, RequestBytes: -1, ResponseBytes: 50_000})
	d.sendCall(t.Context(), http.MethodPost, "/echo", "b", "")
	d.sendCall(t.Context(), http.MethodPost, "/foreign", "b", "")
	d.sendCall(t.Context(), http.MethodPost, "/refuse", "b", "")
	d.sendCall(t.Context(), http.MethodPost, "/hold", "b", "200")
	<-d.arrived
	<-d.cancelled
	d.sendCall(t.Context(), http.MethodPost, "/echo", strings.Repeat("x", 100_000), "")
	want := []string{
		`sardinelever_calls_total{outcome="answered",rank="normal",service="s"} 1`,
		`sardinelever_calls_total{outcome="failed",rank="normal",service="s"} 2`,
		`sardinelever_calls_total{outcome="rejected",rank="normal",service="s"} 1`,
		`sardinelever_calls_total{outcome="unknown",rank="normal",service="s"} 1`,
	}
	// The caller can get the end of a response just before the call is counted.
	for got := []string(nil); !slices.Equal(got, want); {
		if got = d.callCounts(t); sumCounts(got) >= 5 && !slices.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// callCounts returns the lines of the metric sardinelever_calls_total.
func (d *deployment) callCounts(t *testing.T) (lines []string) {
	resp, err := http.Get(d.operator + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		if strings.HasPrefix(s.Text(), "sardinelever_calls_total{") {
			lines = append(lines, s.Text())
		}
	}
	return lines
}

// sumCounts returns the sum of the counts in lines, which are single digits.
func sumCounts(lines []string) (n int) {
	for _, l := range lines {
		n += int(l[len(l)-1] - '0')
	}
	return n
}
