package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// TestColdStatements guards against a limit that ends early because an older statement
// replaced a later one, and against one that outlasts a probe that found the server warm.
func TestColdStatements(t *testing.T) {
	now := time.Unix(1000, 0)
	var p tracker.Pool
	s := p.AddServer(now, "a", netip.MustParseAddrPort("10.0.0.1:80"), false)
	check := func(step string, want time.Duration) {
		t.Helper()
		if got := max(s.ColdUntil().Sub(now), 0); got != want || s.IsCold(now) != (want > 0) {
			t.Errorf("%s: got cold for %v, want %v", step, got, want)
		}
	}
	probe := func(age, cold time.Duration) {
		p.RecordProbeResult(now, s, tracker.ProbeResult{Result: tracker.Result{ReportedCalls: -1}, Age: age, ColdStated: true, Cold: cold})
	}
	check("unknown", 0)
	s.SetListedCold(now, now.Add(3*time.Second))
	check("listed", 3*time.Second)
	now = now.Add(100 * time.Millisecond)
	probe(200*time.Millisecond, 0)
	check("probe sent before the record was known", 2900*time.Millisecond)
	probe(time.Millisecond, 1200*time.Millisecond)
	check("probe", 1200*time.Millisecond)
	probe(time.Second, 0)
	check("late probe", 1200*time.Millisecond)
	s.SetListedCold(now, now)
	check("record that may be older than the probe", 1200*time.Millisecond)
	now = now.Add(time.Millisecond)
	probe(0, 0)
	check("warm", 0)
	probe(0, 3*time.Second)
	check("cold again", 3*time.Second)
	now = now.Add(3 * time.Second)
	check("no further statement", 0)
}
