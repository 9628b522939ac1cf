package granter_test

import (
	"testing"
	"time"
)

// BenchmarkOverloadedPool measures the events of a home of 30 servers in a flood of
// three times their capacity; small instances have a sixth of a core.
func BenchmarkOverloadedPool(b *testing.B) {
	for b.Loop() {
		r := newPoolSimulation(30, 6, 30*time.Millisecond)
		r.nearlyFullFactor = 1.7
		r.changeSlowServers()
		r.tickPool()
		r.sendRequestsOf(longCalls, 3*120/longCalls.work.Seconds(), 2*time.Second)
		r.advance(3 * time.Second)
	}
}
