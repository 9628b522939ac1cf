package allocator_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// TestHomeThatMayNotProbe guards against calls of other instances that wait at a home,
// or get no slot, because the servers want no probes from that home alone.
func TestHomeThatMayNotProbe(t *testing.T) {
	for _, paused := range []int{1, 2} {
		p := newPoolSimulation(2, 2, 30*time.Millisecond)
		p.pool.MayProbe = func(_ time.Time, s *tracker.Server) bool { return s.Address.Compare(serverAddr(paused)) >= 0 }
		var probed []*tracker.Server
		start := p.pool.StartProbe
		p.pool.StartProbe = func(s *tracker.Server) { probed = append(probed, s); start(s) }
		p.tickPool()
		for number := range uint64(4) {
			p.requestSlot(number)
		}
		p.advance(10 * time.Millisecond)
		if got := p.grants[serverAddr(0)] + p.grants[serverAddr(1)]; got != 4 {
			t.Errorf("%d paused: got %d grants within 10 ms, want 4", paused, got)
		}
		for _, s := range probed {
			if s.Address.Compare(serverAddr(paused)) < 0 {
				t.Errorf("%d paused: got a probe of %v, want none", paused, s.Address)
			}
		}
	}
}
