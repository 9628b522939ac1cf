package granter

import (
	"math"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Some backend servers slow down when they are nearly full, so that more calls
// at a time end fewer: with 6 slots and work that takes 1.7 times as long above
// 80%, 4 calls end as 4 at the usual pace and 6 as 3.5. The setting fill says
// up to which share of their slots the servers of a service are used.

// crowdSlots is the number of slots below which servers are always filled: to
// leave one of a few slots free costs more than crowding.
const crowdSlots = 4

// slotsOf returns the calls that s runs at a time.
func slotsOf(s *tracker.Server) int { return max(s.Slots(), s.Limit(), 1) }

// most returns the calls that s is given at a time.
func (p *Pool) most(s *tracker.Server) int {
	if p.config.Fill == 0 || slotsOf(s) < crowdSlots {
		return s.Limit()
	}
	return min(s.Limit(), int(math.Floor(p.config.Fill*float64(slotsOf(s)))))
}

// room returns the calls that may be granted to s now.
func (p *Pool) room(now time.Time, s *tracker.Server) int {
	return max(s.Free(now)-(s.Limit()-p.most(s)), 0)
}

// worked takes in the time for which a call held its slot.
func (p *Pool) worked(g *grant, held float64) {
	if g.pace > 0 {
		p.queues[g.rank].worked(held / g.pace)
	}
}
