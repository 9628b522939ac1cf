package granter

import (
	"math"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

const (
	// crowdShare is the share of busy slots above which some servers slow down.
	crowdShare = 0.8
	// crowding is the factor by which work on a nearly full server counts as
	// slower, so that the last slots are granted last. To leave them free serves
	// no more: 4 calls of 143 ms end as often as 6 of 206 ms.
	crowding = 1.7
	// crowdSlots is the number of slots below which the setting fill has no
	// effect: to leave one of a few slots free halves a server.
	crowdSlots = 4
)

// slotsOf returns the calls that s runs at a time.
func slotsOf(s *tracker.Server) int { return max(s.Slots(), s.Limit(), 1) }

// crowds reports whether one more call makes s nearly full.
func (p *Pool) crowds(s *tracker.Server) bool {
	return float64(s.InFlight()+1) > crowdShare*float64(slotsOf(s))
}

// most returns the calls that s is given at a time.
func (p *Pool) most(s *tracker.Server) int {
	if p.config.Fill == 0 || slotsOf(s) < crowdSlots {
		return s.Limit()
	}
	return min(s.Limit(), int(math.Floor(p.config.Fill*float64(slotsOf(s)))))
}

// room returns the calls that may be granted to s now. A server may have calls
// that this pool does not count: of instances that were lost, or of a second home
// after a start or in a partition. A fresh load report tells how many.
func (p *Pool) room(now time.Time, s *tracker.Server) int {
	room := s.Free(now) - (s.Limit() - p.most(s))
	if foreign, age, ok := s.Reported(now); ok && age <= p.config.Probe.Fresh.Std() {
		room -= foreign
	}
	return max(room, 0)
}

// worked takes in the time for which a call held its slot.
func (p *Pool) worked(g *grant, held float64) {
	if g.pace > 0 {
		p.queues[g.rank].worked(held / g.pace)
		p.works.learn(g.route, held/g.pace)
	}
}
