package granter_test

import (
	"testing"
	"time"
)

// BenchmarkFlood measures the events of a home of 30 servers in a flood of
// three times their capacity; small instances have a sixth of a core.
func BenchmarkFlood(b *testing.B) {
	for b.Loop() {
		r := newReplay(30, 6, 30*time.Millisecond)
		r.knee = 1.7
		r.shuffle()
		r.tick()
		r.floodOf(longCalls, 3*120/longCalls.work.Seconds(), 2*time.Second)
		r.pass(3 * time.Second)
	}
}
