package allocator_test

import (
	"testing"
	"time"
)

// BenchmarkOverloadedPool measures the processing time of a home of 30 servers
// under three times the load that they can serve. Small instances have a sixth
// of a core for it.
func BenchmarkOverloadedPool(b *testing.B) {
	for b.Loop() {
		sim := newPoolSimulation(30, 6, 30*time.Millisecond)
		sim.nearlyFullFactor = 1.7
		sim.changeSlowServers()
		sim.tickPool()
		sim.sendRequestsOf(longCalls, 3*120/longCalls.work.Seconds(), 2*time.Second)
		sim.advance(3 * time.Second)
	}
}
