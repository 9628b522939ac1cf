package granter

import (
	"math"
	"time"

	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Some backend servers slow down when they are nearly full, so that more calls
// at a time end fewer. Whether they do is measured: the work of calls that were
// granted the last slots of a server, relative to that of the others.
const (
	// crowdShare is the share of busy slots above which a server is nearly full.
	crowdShare = 0.8
	// crowdResults is the number of results before the measurement counts.
	crowdResults = 16
	// crowdMost bounds a single result, which the pace of a machine may have
	// changed in between.
	crowdMost = 2.5
	// crowdSlots is the number of slots below which servers are always filled:
	// to leave one of a few slots free costs more than crowding.
	crowdSlots = 4
)

// crowd is the measured effect of nearly full servers.
type crowd struct {
	factor  float64 // EWMA of the work relative to that on servers that are not full.
	results int
}

// slotsOf returns the calls that s runs at a time.
func slotsOf(s *tracker.Server) int { return max(s.Slots(), s.Limit(), 1) }

// crowds reports whether one more call makes s nearly full.
func (p *Pool) crowds(s *tracker.Server) bool {
	return float64(s.InFlight()+1) > crowdShare*float64(slotsOf(s))
}

// worked takes in the time for which a call held its slot.
func (p *Pool) worked(g *grant, held float64) {
	if g.pace == 0 {
		return
	}
	work, q := held/g.pace, &p.queues[g.rank]
	if !g.crowded || q.work == 0 {
		q.worked(work)
		return
	}
	x := min(work/q.work, crowdMost)
	if p.crowd.results == 0 {
		p.crowd.factor = x
	}
	p.crowd.factor += holdGain * (x - p.crowd.factor)
	p.crowd.results++
}

// most returns the calls that s is given at a time: all its slots, or those up
// to which it is not nearly full when that ends more calls.
func (p *Pool) most(s *tracker.Server) int {
	limit := s.Limit()
	calm := int(math.Floor(crowdShare * float64(slotsOf(s))))
	if slotsOf(s) >= crowdSlots && p.crowd.results >= crowdResults && float64(calm) > float64(slotsOf(s))/p.crowd.factor {
		return min(limit, calm)
	}
	return limit
}

// room returns the calls that may be granted to s now.
func (p *Pool) room(now time.Time, s *tracker.Server) int {
	return max(s.Free(now)-(s.Limit()-p.most(s)), 0)
}
