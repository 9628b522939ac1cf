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
		{Value: "a", Score: 3, Busy: 1},
		{Value: "b", Score: 1, Busy: 2},
		{Value: "c", Score: 1, Busy: 1},
		{Value: "d", Score: 2, Busy: 2},
	}
	for _, tc := range []struct {
		name   string
		policy picker.Policy[string]
		want   map[string]bool
	}{
		{"best", picker.Best[string]{Rand: rng}, map[string]bool{"b": true, "c": true}},
		{"least", picker.Least[string]{Rand: rng}, map[string]bool{"a": true, "c": true}},
		{"random", picker.Random[string]{Rand: rng}, map[string]bool{"a": true, "b": true, "c": true, "d": true}},
		{"robin", new(picker.Robin[string]), map[string]bool{"a": true, "b": true, "c": true, "d": true}},
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
	healthy := picker.Facts{Latency: 10 * time.Millisecond, Median: 10 * time.Millisecond, Limit: 2}
	for _, tc := range []struct {
		name          string
		better, worse func(s *picker.Facts)
	}{
		{"latency", func(*picker.Facts) {}, func(s *picker.Facts) { s.Latency *= 2 }},
		{"busy", func(*picker.Facts) {}, func(s *picker.Facts) { s.Busy = 1 }},
		{"limit", func(*picker.Facts) {}, func(s *picker.Facts) { s.Limit = 1 }},
		{"failures", func(s *picker.Facts) { s.Latency *= 5 }, func(s *picker.Facts) { s.Failures = 1; s.Latency /= 10 }},
	} {
		better, worse := healthy, healthy
		tc.better(&better)
		tc.worse(&worse)
		if b, w := picker.Score(better), picker.Score(worse); b >= w {
			t.Errorf("%s: got scores %v and %v, want the first lower", tc.name, b, w)
		}
	}
}
