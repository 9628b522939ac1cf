package tracker_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

var start = time.Unix(1000, 0)

func newPool(n, slots int) *tracker.Pool {
	p := &tracker.Pool{Settings: tracker.Settings{Slots: slots}}
	for i := range n {
		p.AddServer(start, "", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 80), false)
	}
	return p
}

func runCall(p *tracker.Pool, now time.Time, s *tracker.Server, r tracker.Result) {
	p.StartCall(s)
	p.FinishCall(now, s, r)
}

var (
	success     = tracker.Result{Latency: 10 * time.Millisecond, ReportedCalls: -1}
	fastFailure = tracker.Result{Latency: time.Millisecond, ReportedCalls: -1, Failed: true}
)

// TestEjection guards against servers that stay in use while most calls fail,
// against the ejection of more than half of a pool and against the end of an
// ejection without a successful trial call.
func TestEjection(t *testing.T) {
	p := newPool(4, 2)
	for _, s := range p.Servers() {
		for range 5 {
			runCall(p, start, s, fastFailure)
		}
	}
	ejected := 0
	for _, s := range p.Servers() {
		if s.State(start) == tracker.Ejected {
			ejected++
		}
	}
	if ejected != 2 {
		t.Fatalf("ejected servers: got %d, want 2 of 4", ejected)
	}
	s := p.Servers()[0]
	now := start
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		if got := s.FreeSlots(now.Add(wait - 1)); got != 0 {
			t.Errorf("before the delay of %v: got %d free slots, want 0", wait, got)
		}
		now = now.Add(wait)
		if got := s.FreeSlots(now); got != 1 {
			t.Errorf("after the delay of %v: got %d free slots, want 1 for the trial call", wait, got)
		}
		runCall(p, now, s, fastFailure)
	}
	now = now.Add(8 * time.Second)
	runCall(p, now, s, success)
	if got := s.State(now); got != tracker.Ready || s.Limit() != 1 {
		t.Errorf("after a good trial call: got %v with limit %d, want ready with limit 1", got, s.Limit())
	}
}

// TestEjectionThreshold guards against ejection after fewer than 5 results or at
// a failure ratio of one half or less.
func TestEjectionThreshold(t *testing.T) {
	for _, tc := range []struct {
		name      string
		good, bad int
		want      tracker.State
	}{
		{"few", 0, 4, tracker.Ready},
		{"half", 5, 5, tracker.Ready},
		{"most", 4, 5, tracker.Ejected},
	} {
		p := newPool(4, 2)
		s := p.Servers()[0]
		for range tc.good {
			runCall(p, start, s, success)
		}
		for range tc.bad {
			runCall(p, start, s, fastFailure)
		}
		if got := s.State(start); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}

// TestFastFailure guards against a server that attracts calls by failing fast,
// because its expected latency falls or its slots become free sooner.
func TestFastFailure(t *testing.T) {
	p := newPool(2, 1)
	s := p.Servers()[0]
	for range 5 {
		runCall(p, start, s, success)
	}
	before := p.ExpectedLatency(start, s)
	runCall(p, start, s, fastFailure)
	if got := p.ExpectedLatency(start, s); got != before {
		t.Errorf("latency after a fast failure: got %v, want %v", got, before)
	}
	if got := s.FreeSlots(start); got != 0 {
		t.Errorf("free slots after a fast failure: got %d, want 0", got)
	}
	if got := s.FreeSlots(start.Add(success.Latency)); got != 1 {
		t.Errorf("free slots after the usual latency: got %d, want 1", got)
	}
	if got := p.WeightedFailureRatio(start, s); got <= 0 {
		t.Errorf("failures: got %v, want above 0", got)
	}
}

// TestConcurrencyLimit guards against a limit that ignores refusals, leaves the
// range from 1 to Slots or never recovers, and against a cold server that starts
// at its full limit.
func TestConcurrencyLimit(t *testing.T) {
	p := newPool(1, 3)
	s := p.Servers()[0]
	for _, want := range []int{2, 1, 1} {
		runCall(p, start, s, tracker.Result{Refused: true, ReportedCalls: -1})
		if s.Limit() != want {
			t.Errorf("after a refusal: got limit %d, want %d", s.Limit(), want)
		}
	}
	for range 100 {
		runCall(p, start, s, success)
	}
	if s.Limit() != 3 {
		t.Errorf("after a run of successes: got limit %d, want 3", s.Limit())
	}
	cold := p.AddServer(start, "cold", netip.MustParseAddrPort("127.0.0.9:80"), true)
	for i, want := range []int{1, 1, 2, 2, 2, 3} {
		runCall(p, start, cold, success)
		if cold.Limit() != want {
			t.Errorf("cold, after %d calls: got limit %d, want %d", i+1, cold.Limit(), want)
		}
	}
}

// TestDrain guards against new calls to a server that sent the drain signal, and
// against a probe from before the signal that ends the drain.
func TestDrain(t *testing.T) {
	p := newPool(1, 2)
	s := p.Servers()[0]
	p.StartCall(s)
	runCall(p, start, s, tracker.Result{Drain: true, ReportedCalls: 1, Latency: time.Millisecond})
	p.FinishCall(start, s, success)
	p.RecordProbeResult(start.Add(time.Second), s, tracker.ProbeResult{Result: tracker.Result{ReportedCalls: 0}, Age: 2 * time.Second})
	if got := s.FreeSlots(start.Add(time.Second)); got != 0 {
		t.Errorf("after the signal: got %d free slots, want 0", got)
	}
	p.RecordProbeResult(start.Add(time.Second), s, tracker.ProbeResult{Result: tracker.Result{ReportedCalls: 0}, Age: 100 * time.Millisecond})
	if got := s.FreeSlots(start.Add(time.Second)); got != 2 {
		t.Errorf("after a later report without the signal: got %d free slots, want 2", got)
	}
}

// TestMeasurementDecay guards against latencies and load reports that keep their
// full weight although they are old.
func TestMeasurementDecay(t *testing.T) {
	p := newPool(3, 2)
	for i, s := range p.Servers() {
		runCall(p, start, s, tracker.Result{Latency: []time.Duration{10, 20, 100}[i] * time.Millisecond, ReportedCalls: 3})
	}
	slow := p.Servers()[2]
	if got := p.ExpectedLatency(start, slow); got != 100*time.Millisecond {
		t.Errorf("fresh: got %v, want 100ms", got)
	}
	if got := p.ExpectedLatency(start.Add(2*time.Second), slow); got != 60*time.Millisecond {
		t.Errorf("after one half-life: got %v, want 60ms", got)
	}
	if got := p.ExternalInFlight(start, slow); got != 2 {
		t.Errorf("calls of other instances: got %v, want 2", got)
	}
	if got := p.ExternalInFlight(start.Add(200*time.Millisecond), slow); got != 1 {
		t.Errorf("calls of other instances after one half-life of the report: got %v, want 1", got)
	}
	p.DiscardMeasurements(start)
	if got := p.ExpectedLatency(start, slow); got != 10*time.Millisecond || p.ExternalInFlight(start, slow) != 0 {
		t.Errorf("after a pause: got %v and %v, want the default and 0", got, p.ExternalInFlight(start, slow))
	}
}

// TestUnansweredCallLatency guards against an expected latency that is raised by
// the deadlines of calls on connections that stopped responding, or lowered by
// calls that were cancelled early.
func TestUnansweredCallLatency(t *testing.T) {
	tests := []struct {
		name    string
		failed  bool
		elapsed time.Duration
		want    time.Duration
	}{
		{"deadline on a silent connection", true, 2 * time.Second, 10 * time.Millisecond},
		{"cancelled early", false, time.Millisecond, 10 * time.Millisecond},
		{"cancelled late", false, 20 * time.Millisecond, 13 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPool(1, 2)
			s := p.Servers()[0]
			runCall(p, start, s, success)
			runCall(p, start, s, tracker.Result{Latency: tt.elapsed, ReportedCalls: -1, Failed: tt.failed, Unanswered: true})
			if got := p.ExpectedLatency(start, s); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
