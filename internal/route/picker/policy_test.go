package picker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/picker"
)

// TestPolicies guards against a policy that ignores its measure, prefers one of
// several equal candidates, or panics without candidates.
func TestPolicies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := []picker.Candidate[string]{
		{Value: "a", Score: 3, InFlight: 1},
		{Value: "b", Score: 1, InFlight: 2},
		{Value: "c", Score: 1, InFlight: 1},
		{Value: "d", Score: 2, InFlight: 2},
	}
	for _, tc := range []struct {
		name   string
		policy picker.Policy[string]
		want   map[string]bool
	}{
		{"best", picker.LowestScore[string]{Rand: rng}, map[string]bool{"b": true, "c": true}},
		{"least", picker.LeastOutstanding[string]{Rand: rng}, map[string]bool{"a": true, "c": true}},
		{"random", picker.Random[string]{Rand: rng}, map[string]bool{"a": true, "b": true, "c": true, "d": true}},
		{"robin", new(picker.RoundRobin[string]), map[string]bool{"a": true, "b": true, "c": true, "d": true}},
	} {
		if got := tc.policy.Pick(nil); got != -1 {
			t.Errorf("%s without candidates: got %d, want -1", tc.name, got)
		}
		counts := make(map[string]int)
		for range 1000 {
			counts[candidates[tc.policy.Pick(candidates)].Value]++
		}
		for _, c := range candidates {
			if got := counts[c.Value] > 1000/len(tc.want)/2; got != tc.want[c.Value] {
				t.Errorf("%s: got %d of 1000 choices of %s, want chosen: %v", tc.name, counts[c.Value], c.Value, tc.want[c.Value])
			}
		}
	}
}

// TestScore guards against a score that does not grow with the latency, the calls in
// flight or a lower limit, or that prefers a failing server to a slow healthy one.
func TestScore(t *testing.T) {
	healthy := picker.ServerStats{ExpectedLatency: 10 * time.Millisecond, MedianLatency: 10 * time.Millisecond, ConcurrencyLimit: 2}
	for _, tc := range []struct {
		name          string
		better, worse func(s *picker.ServerStats)
	}{
		{"latency", func(*picker.ServerStats) {}, func(s *picker.ServerStats) { s.ExpectedLatency *= 2 }},
		{"busy", func(*picker.ServerStats) {}, func(s *picker.ServerStats) { s.InFlight = 1 }},
		{"limit", func(*picker.ServerStats) {}, func(s *picker.ServerStats) { s.ConcurrencyLimit = 1 }},
		{"failures", func(s *picker.ServerStats) { s.ExpectedLatency *= 5 }, func(s *picker.ServerStats) { s.FailureRatio = 1; s.ExpectedLatency /= 10 }},
	} {
		better, worse := healthy, healthy
		tc.better(&better)
		tc.worse(&worse)
		if b, w := picker.Score(better), picker.Score(worse); b >= w {
			t.Errorf("%s: got scores %v and %v, want the first lower", tc.name, b, w)
		}
	}
}
