package granter

import (
	"math"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Some backend servers slow down when they are nearly full, others do not, and
// none says so. To fill the last slots then serves no more calls, and each takes
// longer. So a pool compares the calls that ran beside many others with those
// that ran beside few, and leaves the last slots free unless filling them pays.
const (
	// crowdShare is the share of busy slots above which some servers slow down.
	crowdShare = 0.8
	// crowding is the factor by which work on a nearly full server counts as
	// slower, so that the last slots are granted last.
	crowding = 1.7
	// crowdSlots is the number of slots below which all are used: to leave one of
	// a few slots free halves a server.
	crowdSlots = 4
	// mostlyCrowded and hardlyCrowded are the shares of the time of a call from
	// which and up to which it counts as run on a nearly full server or not.
	mostlyCrowded = 0.8
	hardlyCrowded = 0.2
	// leastCompared is the number of calls of each sort that a comparison needs;
	// work is spread by about a third, so the mean of 20 is known to a tenth.
	leastCompared = 20.0
	// comparedHalfLife is the time in which a call loses half of its weight in the
	// comparison, after which a few calls fill a server again.
	comparedHalfLife = time.Minute
	// fillGain is the gain in calls for which the last slots are used: calls that
	// take longer miss more targets.
	fillGain = 1.2
	// judgePeriod is the time between two looks at the comparison.
	judgePeriod = 100 * time.Millisecond
)

// crowd compares calls on nearly full servers with others.
type crowd struct {
	meters map[*tracker.Server]*crowdMeter
	filled int                  // Servers that are nearly full.
	routes map[string]*contrast // Work differs between routes.
	judged time.Time
	factor float64 // Slowdown when it was last judged; 0 while too few calls are known.
}

// contrast holds the work of the calls of one route on both sorts of servers.
type contrast struct{ calm, full comparison }

// crowdMeter sums the time in which one server was nearly full.
type crowdMeter struct {
	total time.Duration
	since time.Time // Start of the present time; zero when the server is not nearly full.
}

// comparison is a mean of logarithms, which few extremes do not move.
type comparison struct {
	weight, sum float64
	at          time.Time
}

func (c *comparison) add(now time.Time, value float64) {
	c.weight, c.sum = c.weightAt(now)+1, c.sum*c.fade(now)+value
	c.at = now
}

func (c *comparison) fade(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(c.at)) / float64(comparedHalfLife))
}

func (c *comparison) weightAt(now time.Time) float64 { return c.weight * c.fade(now) }

func (m *crowdMeter) at(now time.Time) time.Duration {
	if m.since.IsZero() {
		return m.total
	}
	return m.total + now.Sub(m.since)
}

// note takes in a change of the calls at s and returns the time in which s was
// nearly full so far.
func (c *crowd) note(now time.Time, s *tracker.Server) time.Duration {
	m := c.meters[s]
	if m == nil {
		if c.meters == nil {
			c.meters = make(map[*tracker.Server]*crowdMeter)
		}
		m = new(crowdMeter)
		c.meters[s] = m
	}
	m.total = m.at(now)
	c.leave(m)
	if crowded(s, 0) {
		m.since = now
		c.filled++
	}
	return m.total
}

// leave says that the server of m is not nearly full.
func (c *crowd) leave(m *crowdMeter) {
	if m != nil && !m.since.IsZero() {
		m.since = time.Time{}
		c.filled--
	}
}

// forget drops a server.
func (c *crowd) forget(s *tracker.Server) {
	c.leave(c.meters[s])
	delete(c.meters, s)
}

// learn takes in the work of a call of route, of which the share was spent on a
// nearly full server.
func (c *crowd) learn(now time.Time, route string, work, share float64) {
	if work <= 0 || share > hardlyCrowded && share < mostlyCrowded {
		return
	}
	if c.routes == nil || len(c.routes) > maxRoutes {
		c.routes = make(map[string]*contrast)
	}
	r := c.routes[route]
	if r == nil {
		r = new(contrast)
		c.routes[route] = r
	}
	if share >= mostlyCrowded {
		r.full.add(now, math.Log(work))
	} else {
		r.calm.add(now, math.Log(work))
	}
}

// slowdown returns how many times longer calls take on nearly full servers, the
// mean of the routes by the number of calls that can be compared; ok is false
// while these are fewer than least.
func (c *crowd) slowdown(now time.Time, least float64) (factor float64, ok bool) {
	weight, sum := 0.0, 0.0
	for _, r := range c.routes {
		w := min(r.calm.weightAt(now), r.full.weightAt(now))
		if w > 0 {
			weight += w
			sum += w * (r.full.sum/r.full.weight - r.calm.sum/r.calm.weight)
		}
	}
	if weight < least {
		return 0, false
	}
	return math.Exp(sum / weight), true
}

// alone reports whether no server but s is nearly full.
func (c *crowd) alone(s *tracker.Server) bool {
	if m := c.meters[s]; m != nil && !m.since.IsZero() {
		return c.filled == 1
	}
	return c.filled == 0
}

// crowded reports whether more calls besides those at s would make it nearly full.
func crowded(s *tracker.Server, more int) bool {
	return float64(s.InFlight()+more) > crowdShare*float64(slotsOf(s))
}

// slotsOf returns the calls that s runs at a time.
func slotsOf(s *tracker.Server) int { return max(s.Slots(), s.Limit(), 1) }

// most returns the calls that s is given at a time. While too little is known
// of nearly full servers, one of the pool is filled.
func (p *Pool) most(now time.Time, s *tracker.Server) int {
	slots := slotsOf(s)
	if slots < crowdSlots {
		return s.Limit()
	}
	if p.config.Fill > 0 {
		return min(s.Limit(), int(p.config.Fill*float64(slots)))
	}
	calm := int(crowdShare * float64(slots))
	p.judgeCrowd(now)
	fills := p.crowd.factor > 0 && fillPays(slots, calm, p.crowd.factor)
	if fills || p.crowd.factor == 0 && p.crowd.alone(s) {
		return s.Limit()
	}
	return min(s.Limit(), calm)
}

// fillPays reports whether slots calls that take slowdown times longer end
// clearly more often than calm calls.
func fillPays(slots, calm int, slowdown float64) bool {
	return float64(slots) >= fillGain*slowdown*float64(calm)
}

// judgeCrowd looks at the comparison again and audits a change of what follows.
func (p *Pool) judgeCrowd(now time.Time) {
	c := &p.crowd
	if now.Sub(c.judged) < judgePeriod {
		return
	}
	before, least := c.factor, leastCompared
	if before > 0 {
		least /= 2 // Hysteresis keeps the belief while the weights fade around the bound.
	}
	c.judged, c.factor = now, 0
	if factor, ok := c.slowdown(now, least); ok {
		c.factor = factor
	}
	slots := max(p.config.Slots, crowdSlots)
	for _, s := range p.servers.Servers() {
		slots = max(slots, slotsOf(s))
	}
	calm := int(crowdShare * float64(slots))
	if known := c.factor > 0; known != (before > 0) || known && fillPays(slots, calm, before) != fillPays(slots, calm, c.factor) {
		p.Audit.Note(auditor.Change{
			Time: now, Part: "route", Subject: "pool " + p.Key.String(), Cause: "slowdown of nearly full servers",
			Before: describe(before), After: describe(c.factor),
		})
	}
}

// describe writes a slowdown for the audit trail.
func describe(slowdown float64) string {
	if slowdown == 0 {
		return "unknown"
	}
	return strconv.FormatFloat(slowdown, 'f', 2, 64)
}

// room returns the calls that may be granted to s now. A server may have calls
// that this pool does not count: of instances that were lost, or of a second home
// after a start or in a partition. A fresh load report tells how many.
func (p *Pool) room(now time.Time, s *tracker.Server) int {
	room := s.Free(now) - (s.Limit() - p.most(now, s))
	if foreign, age, ok := s.Reported(now); ok && age <= p.config.Probe.Fresh.Std() {
		room -= foreign
	}
	return max(room, 0)
}

// crowdedTime notes the calls at s and returns the time in which it was nearly
// full so far, 0 for a server that the pool has forgotten.
func (p *Pool) crowdedTime(now time.Time, s *tracker.Server) time.Duration {
	if p.servers.Find(s.Address) != s {
		return 0
	}
	return p.crowd.note(now, s)
}

// worked takes in the time for which a call held its slot.
func (p *Pool) worked(now time.Time, g *grant, held float64) {
	if g.pace <= 0 {
		return
	}
	work := held / g.pace
	p.queues[g.rank].worked(work)
	if g.pace <= calm && held > 0 {
		p.crowd.learn(now, g.route, work, float64(p.crowdedTime(now, g.server)-g.crowded)/held)
	}
	p.works.learn(g.route, work)
}
