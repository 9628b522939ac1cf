package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// silenceCase says what is known besides the silent calls of one server.
type silenceCase struct {
	name                              string
	ownAnswers, slow, othersAnswering bool
	want                              tracker.State
}

// stateAfter returns the state of the server after 6 silent calls within 1.5 s.
func (c *silenceCase) stateAfter() tracker.State {
	now := time.Unix(1000, 0)
	p := &tracker.Pool{Settings: tracker.Settings{Slots: 10}}
	var servers []*tracker.Server
	for i := range 4 {
		servers = append(servers, p.AddServer(now, "", netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), false))
	}
	answer := func(s *tracker.Server) {
		p.StartCall(s)
		p.FinishCall(now, s, tracker.Result{Latency: 100 * time.Millisecond, ReportedCalls: -1})
	}
	for range 6 {
		now = now.Add(300 * time.Millisecond)
		if c.slow {
			p.RecordProbeResult(now, servers[0], tracker.ProbeResult{Result: tracker.Result{ReportedCalls: -1, Slowdown: 7}})
		}
		p.StartCall(servers[0])
		p.MarkSilent(now, servers[0])
		if c.othersAnswering {
			answer(servers[1])
		}
		if c.ownAnswers {
			answer(servers[0])
		}
	}
	return servers[0].State(now)
}

// TestSilenceIsToldFromSlowness guards against a server that is ejected for silent calls
// although it answers others, is known to be slow, or is as silent as all others, and
// against one that is not ejected although only it answers nothing.
func TestSilenceIsToldFromSlowness(t *testing.T) {
	for _, c := range []silenceCase{
		{"gone", false, false, true, tracker.Ejected},
		{"answers other calls", true, false, true, tracker.Ready},
		{"slow", false, true, true, tracker.Ready},
		{"all silent", false, false, false, tracker.Ready},
	} {
		if got := c.stateAfter(); got != c.want {
			t.Errorf("%s: got %s after 6 silent calls, want %s", c.name, got, c.want)
		}
	}
}
