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
	// nearlyFullShare is the share of busy slots above which some servers slow down.
	nearlyFullShare = 0.8
	// nearlyFullCostFactor is the factor by which work on a nearly full server counts as
	// slower, so that the last slots are granted last.
	nearlyFullCostFactor = 1.7
	// minLimitedSlots is the number of slots below which all are used: to leave one of
	// a few slots free halves a server.
	minLimitedSlots = 4
	// minNearlyFullTimeShare and hardlyCrowded are the shares of the time of a call from
	// which and up to which it counts as run on a nearly full server or not.
	minNearlyFullTimeShare = 0.8
	maxBaselineTimeShare   = 0.2
	// minComparedCalls is the number of calls of each sort that a comparison needs;
	// work is spread by about a third, so the mean of 20 is known to a tenth.
	minComparedCalls = 20.0
	// comparisonHalfLife is the time in which a call loses half of its weight in the
	// comparison, after which a few calls fill a server again.
	comparisonHalfLife = time.Minute
	// minFillGain is the gain in calls for which the last slots are used: calls that
	// take longer miss more targets.
	minFillGain = 1.2
	// slowdownUpdatePeriod is the time between two looks at the comparison.
	slowdownUpdatePeriod = 100 * time.Millisecond
)

// slowdownEstimator compares calls on nearly full servers with others.
type slowdownEstimator struct {
	timers          map[*tracker.Server]*nearlyFullTimer
	nearlyFullCount int                         // Servers that are nearly full.
	routes          map[string]*routeComparison // Work differs between routes.
	updatedAt       time.Time
	factor          float64 // Slowdown when it was last judged; 0 while too few calls are known.
}

// routeComparison holds the work of the calls of one route on both sorts of servers.
type routeComparison struct{ baseline, nearlyFull decayingSum }

// nearlyFullTimer sums the time in which one server was nearly full.
type nearlyFullTimer struct {
	total time.Duration
	since time.Time // Start of the present time; zero when the server is not nearly full.
}

// decayingSum is a mean of logarithms, which few extremes do not move.
type decayingSum struct {
	weight, sum float64
	updatedAt   time.Time
}

func (d *decayingSum) add(now time.Time, value float64) {
	d.weight, d.sum = d.weightAt(now)+1, d.sum*d.decay(now)+value
	d.updatedAt = now
}

func (d *decayingSum) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(comparisonHalfLife))
}

func (d *decayingSum) weightAt(now time.Time) float64 { return d.weight * d.decay(now) }

func (t *nearlyFullTimer) elapsed(now time.Time) time.Duration {
	if t.since.IsZero() {
		return t.total
	}
	return t.total + now.Sub(t.since)
}

// updateTimer takes in a change of the calls at s and returns the time in which s was
// nearly full so far.
func (e *slowdownEstimator) updateTimer(now time.Time, s *tracker.Server) time.Duration {
	m := e.timers[s]
	if m == nil {
		if e.timers == nil {
			e.timers = make(map[*tracker.Server]*nearlyFullTimer)
		}
		m = new(nearlyFullTimer)
		e.timers[s] = m
	}
	m.total = m.elapsed(now)
	e.stopTimer(m)
	if isNearlyFull(s, 0) {
		m.since = now
		e.nearlyFullCount++
	}
	return m.total
}

// stopTimer says that the server of m is not nearly full.
func (e *slowdownEstimator) stopTimer(m *nearlyFullTimer) {
	if m != nil && !m.since.IsZero() {
		m.since = time.Time{}
		e.nearlyFullCount--
	}
}

// removeServer drops a server.
func (e *slowdownEstimator) removeServer(s *tracker.Server) {
	e.stopTimer(e.timers[s])
	delete(e.timers, s)
}

// recordCall takes in the work of a call of route, of which the share was spent on a
// nearly full server.
func (e *slowdownEstimator) recordCall(now time.Time, route string, work, share float64) {
	if work <= 0 || share > maxBaselineTimeShare && share < minNearlyFullTimeShare {
		return
	}
	if e.routes == nil || len(e.routes) > maxRoutes {
		e.routes = make(map[string]*routeComparison)
	}
	r := e.routes[route]
	if r == nil {
		r = new(routeComparison)
		e.routes[route] = r
	}
	if share >= minNearlyFullTimeShare {
		r.nearlyFull.add(now, math.Log(work))
	} else {
		r.baseline.add(now, math.Log(work))
	}
}

// estimate returns how many times longer calls take on nearly full servers, the
// mean of the routes by the number of calls that can be compared; ok is false
// while these are fewer than least.
func (e *slowdownEstimator) estimate(now time.Time, least float64) (factor float64, ok bool) {
	weight, sum := 0.0, 0.0
	for _, r := range e.routes {
		w := min(r.baseline.weightAt(now), r.nearlyFull.weightAt(now))
		if w > 0 {
			weight += w
			sum += w * (r.nearlyFull.sum/r.nearlyFull.weight - r.baseline.sum/r.baseline.weight)
		}
	}
	if weight < least {
		return 0, false
	}
	return math.Exp(sum / weight), true
}

// noOtherNearlyFull reports whether no server but s is nearly full.
func (e *slowdownEstimator) noOtherNearlyFull(s *tracker.Server) bool {
	if m := e.timers[s]; m != nil && !m.since.IsZero() {
		return e.nearlyFullCount == 1
	}
	return e.nearlyFullCount == 0
}

// isNearlyFull reports whether more calls besides those at s would make it nearly full.
func isNearlyFull(s *tracker.Server, more int) bool {
	return float64(s.InFlight()+more) > nearlyFullShare*float64(serverSlots(s))
}

// serverSlots returns the calls that s runs at a time.
func serverSlots(s *tracker.Server) int { return max(s.Slots(), s.Limit(), 1) }

// grantableSlots returns the calls that s is given at a time. While too little is known
// of nearly full servers, one of the pool is filled.
func (p *Pool) grantableSlots(now time.Time, s *tracker.Server) int {
	slots := serverSlots(s)
	if slots < minLimitedSlots {
		return s.Limit()
	}
	if p.config.Fill > 0 {
		return min(s.Limit(), int(p.config.Fill*float64(slots)))
	}
	partial := int(nearlyFullShare * float64(slots))
	p.updateSlowdown(now)
	fills := p.slowdown.factor > 0 && fillPays(slots, partial, p.slowdown.factor)
	if fills || p.slowdown.factor == 0 && p.slowdown.noOtherNearlyFull(s) {
		return s.Limit()
	}
	return min(s.Limit(), partial)
}

// fillPays reports whether slots calls that take slowdown times longer end
// clearly more often than calm calls.
func fillPays(slots, partial int, slowdown float64) bool {
	return float64(slots) >= minFillGain*slowdown*float64(partial)
}

// updateSlowdown looks at the comparison again and audits a change of what follows.
func (p *Pool) updateSlowdown(now time.Time) {
	e := &p.slowdown
	if now.Sub(e.updatedAt) < slowdownUpdatePeriod {
		return
	}
	before, least := e.factor, minComparedCalls
	if before > 0 {
		least /= 2 // Hysteresis keeps the belief while the weights fade around the bound.
	}
	e.updatedAt, e.factor = now, 0
	if factor, ok := e.estimate(now, least); ok {
		e.factor = factor
	}
	slots := max(p.config.Slots, minLimitedSlots)
	for _, s := range p.servers.Servers() {
		slots = max(slots, serverSlots(s))
	}
	partial := int(nearlyFullShare * float64(slots))
	if known := e.factor > 0; known != (before > 0) || known && fillPays(slots, partial, before) != fillPays(slots, partial, e.factor) {
		p.Audit.Note(auditor.Change{
			Time: now, Part: "route", Subject: "pool " + p.Key.String(), Cause: "slowdown of nearly full servers",
			Before: formatSlowdown(before), After: formatSlowdown(e.factor),
		})
	}
}

// formatSlowdown writes a slowdown for the audit trail.
func formatSlowdown(slowdown float64) string {
	if slowdown == 0 {
		return "unknown"
	}
	return strconv.FormatFloat(slowdown, 'f', 2, 64)
}

// available returns the calls that may be granted to s now. A server may have calls
// that this pool does not count: of instances that were lost, or of a second home
// after a start or in a partition. A fresh load report tells how many.
func (p *Pool) available(now time.Time, s *tracker.Server) int {
	available := s.Free(now) - (s.Limit() - p.grantableSlots(now, s))
	if foreign, age, ok := s.Reported(now); ok && age <= p.config.Probe.Fresh.Std() {
		available -= foreign
	}
	return max(available, 0)
}

// nearlyFullTime notes the calls at s and returns the time in which it was nearly
// full so far, 0 for a server that the pool has forgotten.
func (p *Pool) nearlyFullTime(now time.Time, s *tracker.Server) time.Duration {
	if p.servers.Find(s.Address) != s {
		return 0
	}
	return p.slowdown.updateTimer(now, s)
}

// recordWork takes in the time for which a call held its slot.
func (p *Pool) recordWork(now time.Time, g *grant, held float64) {
	if g.pace <= 0 {
		return
	}
	work := held / g.pace
	p.queues[g.rank].recordWork(work)
	if g.pace <= maxNormalPace && held > 0 {
		p.slowdown.recordCall(now, g.route, work, float64(p.nearlyFullTime(now, g.server)-g.nearlyFullTime)/held)
	}
	p.routeWork.record(g.route, work)
}
