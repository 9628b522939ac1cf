package allocator

import (
	"math"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Some backend servers slow down when they are nearly full, others do not, and
// no server reports which kind it is. On a server that slows down, filling the
// last slots completes no more calls and makes each one take longer. A pool
// therefore compares the work of calls on nearly full servers with that of
// other calls, and leaves the last slots free unless filling them increases
// throughput.
const (
	// nearlyFullShare is the share of busy slots above which a server counts as
	// nearly full; some servers slow down from there.
	nearlyFullShare = 0.8
	// nearlyFullCostFactor multiplies the cost of a server that the next call
	// would make nearly full, so that the last slots are granted last.
	nearlyFullCostFactor = 1.7
	// minLimitedSlots is the number of slots from which the last ones may be
	// left free. With fewer slots, leaving one free would cost up to half of
	// the server.
	minLimitedSlots = 4
	// A call that spends at least minNearlyFullTimeShare of its time on a
	// nearly full server counts as run on a nearly full server. A call that
	// spends at most maxBaselineTimeShare of its time there counts as run on a
	// server that is not. Calls in between are not compared.
	minNearlyFullTimeShare = 0.8
	maxBaselineTimeShare   = 0.2
	// minComparedCalls is the number of calls needed on each side of the
	// comparison. The work of single calls varies by about a third, so the mean
	// of 20 calls is accurate to about a tenth.
	minComparedCalls = 20.0
	// comparisonHalfLife is the time in which a call loses half of its weight
	// in the comparison. Once too little weight is left, the pool fills a
	// server again to measure its slowdown.
	comparisonHalfLife = time.Minute
	// minFillGain is the factor by which filling the last slots must increase
	// throughput. A smaller gain is not worth it, because calls that take
	// longer miss more targets.
	minFillGain = 1.2
	// nearlyFullUpdatePeriod is the minimum time between two updates of the
	// estimated slowdown.
	nearlyFullUpdatePeriod = 100 * time.Millisecond
)

// nearlyFullEstimator estimates how much longer calls take on nearly full servers
// than on others.
type nearlyFullEstimator struct {
	timers          map[*tracker.Server]*nearlyFullTimer
	nearlyFullCount int                         // Number of servers that are nearly full.
	routes          map[string]*routeComparison // By route, because the work differs between routes.
	updatedAt       time.Time
	slowdown        float64 // Estimate at the last update; 0 while too few calls were compared.
}

// routeComparison holds the work of the calls of one route on nearly full
// servers and on others.
type routeComparison struct{ baseline, nearlyFull decayingSum }

// nearlyFullTimer measures the total time for which one server was nearly full.
type nearlyFullTimer struct {
	total time.Duration
	since time.Time // Start of the current nearly full period; zero when there is none.
}

// decayingSum accumulates values whose weight decays exponentially with their
// age. It sums the logarithms of work, so that a few extreme values hardly
// change the mean.
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

// updateTimer updates the timer of s after a change of its calls in flight and
// returns the total time for which s was nearly full.
func (e *nearlyFullEstimator) updateTimer(now time.Time, s *tracker.Server) time.Duration {
	timer := e.timers[s]
	if timer == nil {
		if e.timers == nil {
			e.timers = make(map[*tracker.Server]*nearlyFullTimer)
		}
		timer = new(nearlyFullTimer)
		e.timers[s] = timer
	}
	timer.total = timer.elapsed(now)
	e.stopTimer(timer)
	if isNearlyFull(s, 0) {
		timer.since = now
		e.nearlyFullCount++
	}
	return timer.total
}

// stopTimer ends the current nearly full period of a server, if there is one. A
// nil timer is ignored.
func (e *nearlyFullEstimator) stopTimer(timer *nearlyFullTimer) {
	if timer != nil && !timer.since.IsZero() {
		timer.since = time.Time{}
		e.nearlyFullCount--
	}
}

// removeServer removes the timer of s.
func (e *nearlyFullEstimator) removeServer(s *tracker.Server) {
	e.stopTimer(e.timers[s])
	delete(e.timers, s)
}

// recordCall records the work of a call of route; share is the share of its
// time that it spent on a nearly full server.
func (e *nearlyFullEstimator) recordCall(now time.Time, route string, work, share float64) {
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

// estimate returns the time that calls take on nearly full servers relative to
// the time on others. It is the geometric mean over all routes, weighted by the number of calls that
// can be compared. It returns false while that number is below minCalls.
func (e *nearlyFullEstimator) estimate(now time.Time, minCalls float64) (slowdown float64, ok bool) {
	weight, sum := 0.0, 0.0
	for _, r := range e.routes {
		w := min(r.baseline.weightAt(now), r.nearlyFull.weightAt(now))
		if w > 0 {
			weight += w
			sum += w * (r.nearlyFull.sum/r.nearlyFull.weight - r.baseline.sum/r.baseline.weight)
		}
	}
	if weight < minCalls {
		return 0, false
	}
	return math.Exp(sum / weight), true
}

// noOtherNearlyFull reports whether no server other than s is nearly full.
func (e *nearlyFullEstimator) noOtherNearlyFull(s *tracker.Server) bool {
	if timer := e.timers[s]; timer != nil && !timer.since.IsZero() {
		return e.nearlyFullCount == 1
	}
	return e.nearlyFullCount == 0
}

// isNearlyFull reports whether s is nearly full with its calls in flight and
// more additional ones.
func isNearlyFull(s *tracker.Server, more int) bool {
	return float64(s.InFlight()+more) > nearlyFullShare*float64(serverSlots(s))
}

// serverSlots returns the number of calls that s can run at a time.
func serverSlots(s *tracker.Server) int { return max(s.Slots(), s.Limit(), 1) }

// grantableSlots returns the number of calls that the pool grants to s at a
// time: the limit of s, or less if the last slots stay free. The Fill setting of
// the service, if set, decides how many stay free; otherwise the estimated
// slowdown does. While that is unknown, the pool fills one server at a time to
// measure it.
func (p *Pool) grantableSlots(now time.Time, s *tracker.Server) int {
	slots := serverSlots(s)
	if slots < minLimitedSlots {
		return s.Limit()
	}
	if p.config.Fill > 0 {
		return min(s.Limit(), int(p.config.Fill*float64(slots)))
	}
	partial := int(nearlyFullShare * float64(slots))
	p.updateNearlyFullSlowdown(now)
	fills := p.nearlyFull.slowdown > 0 && worthFilling(slots, partial, p.nearlyFull.slowdown)
	if fills || p.nearlyFull.slowdown == 0 && p.nearlyFull.noOtherNearlyFull(s) {
		return s.Limit()
	}
	return min(s.Limit(), partial)
}

// worthFilling reports whether filling all slots, with calls that take slowdown
// times as long, completes at least minFillGain times as many calls as using
// only partial of the slots.
func worthFilling(slots, partial int, slowdown float64) bool {
	return float64(slots) >= minFillGain*slowdown*float64(partial)
}

// updateNearlyFullSlowdown updates the estimated slowdown of nearly full servers
// and writes an audit entry when it becomes known or unknown, or when the result
// of worthFilling changes.
func (p *Pool) updateNearlyFullSlowdown(now time.Time) {
	e := &p.nearlyFull
	if now.Sub(e.updatedAt) < nearlyFullUpdatePeriod {
		return
	}
	before, minCalls := e.slowdown, minComparedCalls
	if before > 0 {
		minCalls /= 2 // Hysteresis: avoids switching back and forth while the weights decay near the threshold.
	}
	e.updatedAt, e.slowdown = now, 0
	if slowdown, ok := e.estimate(now, minCalls); ok {
		e.slowdown = slowdown
	}
	slots := max(p.config.Slots, minLimitedSlots)
	for _, s := range p.servers.Servers() {
		slots = max(slots, serverSlots(s))
	}
	partial := int(nearlyFullShare * float64(slots))
	if known := e.slowdown > 0; known != (before > 0) || known && worthFilling(slots, partial, before) != worthFilling(slots, partial, e.slowdown) {
		p.Audit.RecordChange(auditor.Change{
			Time: now, Component: "route", Subject: "pool " + p.Key.String(), Cause: "slowdown of nearly full servers",
			Before: formatSlowdown(before), After: formatSlowdown(e.slowdown),
		})
	}
}

// formatSlowdown formats a slowdown for the audit trail.
func formatSlowdown(slowdown float64) string {
	if slowdown == 0 {
		return "unknown"
	}
	return strconv.FormatFloat(slowdown, 'f', 2, 64)
}

// availableSlots returns the number of calls that may be granted to s now. A
// server may run calls that this pool did not grant: calls of instances that
// were lost, or calls granted by a second home after a restart or during a
// network partition. A fresh load report tells how many there are.
func (p *Pool) availableSlots(now time.Time, s *tracker.Server) int {
	available := s.FreeSlots(now) - (s.Limit() - p.grantableSlots(now, s))
	if external, age, ok := s.ReportedExternalCalls(now); ok && age <= p.config.Probe.Fresh.AsDuration() {
		available -= external
	}
	if !p.allowsCold(now, s) {
		return 0
	}
	return max(available, 0)
}

// updateNearlyFullTime updates the timer of s and returns the total time for which s
// was nearly full. It returns 0 for a server that is no longer part of the
// pool.
func (p *Pool) updateNearlyFullTime(now time.Time, s *tracker.Server) time.Duration {
	if p.servers.FindServer(s.Address) != s {
		return 0
	}
	return p.nearlyFull.updateTimer(now, s)
}

// recordWork records the work of a call that held its slot for held nanoseconds.
// Work is the hold time divided by the slowdown of the server at the grant; a
// call for which that slowdown is unknown is ignored.
func (p *Pool) recordWork(now time.Time, g *grant, held float64) {
	if g.slowdown <= 0 {
		return
	}
	work := held / g.slowdown
	p.queues[g.rank].recordWork(work)
	if g.slowdown <= maxNormalSlowdown && held > 0 {
		p.nearlyFull.recordCall(now, g.route, work, float64(p.updateNearlyFullTime(now, g.server)-g.nearlyFullTime)/held)
	}
	p.routeWork.record(g.route, work)
}
