package allocator

import (
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/picker"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// A cold server crashes when more calls arrive in a second than it can take, whichever
// homes granted them. Each home therefore grants them at a distance from each other and
// lets few be outstanding. docs/design/cold-servers.md calculates the sum over all homes.
const (
	// MaxColdDelay is the longest time from the grant of a slot of a cold server to the
	// start of its call, with the ways of the request and of the reply. A slot that is
	// late, for example after a pause of either instance, is given back unused.
	MaxColdDelay = 150 * time.Millisecond
	// coldSlowdown is the slowdown that is assumed of a cold server that reports less.
	coldSlowdown = 2.0
	// coldHomes is the number of homes that may grant slots of a server at a time: one
	// on each side of a partition, or one and the home that takes over from it.
	coldHomes = 2
	// coldOutstandingShare is the share of the limit of one home that is left for calls
	// that were granted before, and that a link delivers late.
	coldOutstandingShare = 0.4
	// A call that ended without an answer counts as outstanding for maxLostTime, because
	// a link may deliver it late, and only for minLostTime if the server answers others.
	maxLostTime = 5 * time.Second
	minLostTime = time.Second
	// newHomeDelay is the time for which a new home grants no slots of cold servers. An
	// instance that is cut off from the others becomes the home of all pools for its own
	// calls; within this time it notices that it hears no others (heardWithin in package
	// runner), and FleetShare then tells so.
	newHomeDelay = 1700 * time.Millisecond
	// minFullShare is the share of the fleet from which a home grants at the full rate,
	// so that the failure of a zone among four or of a few instances changes nothing.
	minFullShare = 0.6
	// maxColdGap is the longest time between two updates of a pool that runs; its ticks
	// are at most grantTickPeriod apart. After a longer one, the process was paused and
	// another home may have taken over.
	maxColdGap = time.Second
)

// coldRate is the rate at which one home grants slots of a cold server. The zero value
// stands for no limit.
type coldRate struct {
	interval    time.Duration // Least time between two grants.
	outstanding int           // Most calls that may be outstanding.
}

// newColdRate returns the rate for a service: perSecond, or less where the calls of
// coldHomes homes could exceed the limit of b in any second.
func newColdRate(perSecond float64, b parser.ColdBound) coldRate {
	overage, isLimited := b.Overage.Get()
	if perSecond <= 0 || !isLimited {
		return coldRate{}
	}
	share := int(perSecond*overage+b.Slack.Or(0)) / coldHomes
	r := coldRate{outstanding: max(int(coldOutstandingShare*float64(share)), 1)}
	// In a window of this length, in which the calls that arrive within a second were
	// granted, n grants have at least a distance of window/n.
	window := time.Second + MaxColdDelay
	r.interval = max(time.Duration(min(float64(time.Second)/perSecond, float64(time.Hour))), window/time.Duration(max(share-r.outstanding, 1)))
	return r
}

// withShare returns the rate of a home that reaches a share of the fleet: the full rate,
// or a half, a quarter and so on, so that small changes of the share have no effect. The
// rates of several homes that do not reach each other then add up to about one.
func (r coldRate) withShare(share float64) coldRate {
	if share >= minFullShare {
		return r
	}
	const minShare = 1.0 / (1 << 12)
	for full := 1.0; full > max(share, minShare); full /= 2 {
		r.interval *= 2
	}
	return r
}

// ColdLimits are the limits of calls to cold servers. The zero value limits none.
type ColdLimits struct {
	Bound parser.ColdBound
	// FleetShare returns the share of the instances that this one reaches; nil means that
	// it reaches all.
	FleetShare func() float64
}

// coldState is what a pool knows of its cold servers.
type coldState struct {
	fullRate  coldRate // Rate of a home that reaches all instances.
	rate      coldRate
	pacers    map[*tracker.Server]*coldPacer // Of the cold servers.
	checkedAt time.Time
	grantFrom time.Time      // Time of the first grant after the start or a pause, at the earliest.
	withheld  *atomic.Uint64 // Counts the requests that got no slot at once because its server was cold; may be nil.
}

// coldPacer decides when a home may grant the next slot of one cold server.
type coldPacer struct {
	nextAt time.Time   // Time of the next grant, at the earliest.
	lost   []time.Time // Ends of the calls that got no answer and count as outstanding.
}

// restart discards the grants that the time since the last one would allow. The calls in
// flight count as granted now. The next grant is not before from.
func (c *coldPacer) restart(now, from time.Time, r coldRate, inFlight int) {
	c.nextAt = now.Add(time.Duration(1+inFlight) * r.interval)
	if c.nextAt.Before(from) {
		c.nextAt = from
	}
}

// count counts a call that may arrive at the server.
func (c *coldPacer) count(now time.Time, r coldRate) {
	if c.nextAt.Before(now) {
		c.nextAt = now
	}
	c.nextAt = c.nextAt.Add(r.interval)
}

// countLost counts a call that ended without an answer.
func (c *coldPacer) countLost(now time.Time) { c.lost = append(c.lost, now) }

// dropLost removes the calls without an answer that ended longer than age ago.
func (c *coldPacer) dropLost(now time.Time, age time.Duration) {
	c.lost = slices.DeleteFunc(c.lost, func(end time.Time) bool { return now.Sub(end) >= age })
}

// allows reports whether a slot may be granted while inFlight calls are in flight.
func (c *coldPacer) allows(now time.Time, r coldRate, inFlight int) bool {
	c.dropLost(now, maxLostTime)
	return !now.Before(c.nextAt) && inFlight+len(c.lost) < r.outstanding
}

// setColdRate sets the rate at which a home that reaches all instances grants slots of
// each cold server.
func (p *Pool) setColdRate(r coldRate) {
	if r != p.cold.fullRate {
		p.cold.fullRate, p.cold.rate = r, r
	}
}

// updateCold starts to limit the servers that have turned cold and ends it for those
// that are warm.
func (p *Pool) updateCold(now time.Time) {
	c := &p.cold
	paused := now.Sub(c.checkedAt) > maxColdGap // Also set for the first update.
	c.checkedAt = now
	if paused {
		c.grantFrom = now.Add(newHomeDelay)
	}
	if c.fullRate == (coldRate{}) {
		c.pacers = nil
		return
	}
	for _, s := range p.servers.Servers() {
		pacer, isCold := c.pacers[s], s.IsCold(now)
		switch {
		case isCold && pacer == nil:
			if c.pacers == nil {
				c.pacers = make(map[*tracker.Server]*coldPacer)
			}
			pacer = new(coldPacer)
			pacer.restart(now, c.grantFrom, c.rate, s.InFlight())
			c.pacers[s] = pacer
			p.recallUnfit(now, s)
			p.noteCold(now, s, "warm", "cold for "+s.ColdUntil().Sub(now).Round(time.Millisecond).String())
		case isCold && paused:
			pacer.restart(now, c.grantFrom, c.rate, s.InFlight())
		case !isCold && pacer != nil:
			delete(c.pacers, s)
			p.noteCold(now, s, "cold", "warm")
		}
	}
	p.applyFleetShare(now)
}

// applyFleetShare adapts the rate to the share of the fleet that this home reaches.
func (p *Pool) applyFleetShare(now time.Time) {
	c := &p.cold
	if p.ColdLimits.FleetShare == nil || len(c.pacers) == 0 {
		return
	}
	before := c.rate.interval
	c.rate = c.fullRate.withShare(p.ColdLimits.FleetShare())
	for s, pacer := range c.pacers {
		next := now.Add(c.rate.interval)
		switch {
		case c.rate.interval > before:
			pacer.restart(now, c.grantFrom, c.rate, s.InFlight())
		case c.rate.interval < before && pacer.nextAt.After(next):
			pacer.restart(now, c.grantFrom, c.rate, 0)
		}
	}
}

// noteCold adds the start or end of a cold start to the audit trail.
func (p *Pool) noteCold(now time.Time, s *tracker.Server, before, after string) {
	p.Audit.RecordChange(auditor.Change{Time: now, Component: "route", Subject: s.Name, Cause: "cold start", Before: before, After: after})
}

// isLimited reports whether s is cold and the calls to it are limited.
func (p *Pool) isLimited(now time.Time, s *tracker.Server) bool {
	return p.cold.rate != coldRate{} && s.IsCold(now)
}

// allowsCold reports whether the limit of a cold server allows a grant; it allows all to
// other servers.
func (p *Pool) allowsCold(now time.Time, s *tracker.Server) bool {
	if !p.isLimited(now, s) {
		return true
	}
	pacer := p.cold.pacers[s]
	return pacer != nil && pacer.allows(now, p.cold.rate, s.InFlight())
}

// preferWarm returns the candidates that are not cold, or all if all of them are.
func (p *Pool) preferWarm(all []picker.Candidate[*tracker.Server]) []picker.Candidate[*tracker.Server] {
	isCold := func(c picker.Candidate[*tracker.Server]) bool { return p.cold.pacers[c.Value] != nil }
	if len(p.cold.pacers) == 0 || !slices.ContainsFunc(all, func(c picker.Candidate[*tracker.Server]) bool { return !isCold(c) }) {
		return all
	}
	return slices.DeleteFunc(all, isCold)
}

// countCold counts a call to s, if s is cold.
func (p *Pool) countCold(now time.Time, s *tracker.Server) {
	if pacer := p.cold.pacers[s]; pacer != nil {
		pacer.count(now, p.cold.rate)
	}
}

// recordColdEnd records the end of the grant g with the result r, or without one.
func (p *Pool) recordColdEnd(now time.Time, g *grant, r *tracker.Result) {
	pacer := p.cold.pacers[g.server]
	switch {
	case pacer == nil, g.kept, g.unused:
	case r == nil || r.Unanswered:
		pacer.countLost(now)
	default:
		pacer.dropLost(now, minLostTime)
	}
}

// countWithheldCold counts a request that waits although a slot is free, since its server
// is cold.
func (p *Pool) countWithheldCold(now time.Time, avoid []netip.AddrPort) {
	if p.cold.withheld != nil && p.withholdsCold(now, avoid) {
		p.cold.withheld.Add(1)
	}
}

// withholdsCold reports whether a free slot is withheld from a call that must not use
// avoid, because its server is cold.
func (p *Pool) withholdsCold(now time.Time, avoid []netip.AddrPort) bool {
	for s := range p.cold.pacers {
		if s.FreeSlots(now) > 0 && !p.allowsCold(now, s) && !slices.Contains(avoid, s.Address) {
			return true
		}
	}
	return false
}

// coldWait returns the time until a call is granted a slot that must not use avoid, as
// the n-th from now. ok is false when a server that may run the call is not cold.
func (p *Pool) coldWait(now time.Time, avoid []netip.AddrPort, n int) (wait time.Duration, ok bool) {
	servers, next, warm := 0, time.Duration(0), time.Duration(0)
	for _, s := range p.servers.Servers() {
		if st := s.State(now); st == tracker.Leaving || st == tracker.Draining || st == tracker.Ejected || slices.Contains(avoid, s.Address) {
			continue
		}
		pacer := p.cold.pacers[s]
		if pacer == nil {
			return 0, false
		}
		if until := s.ColdUntil().Sub(now); servers == 0 || until < warm {
			warm = until
		}
		if until := max(pacer.nextAt.Sub(now), 0); servers == 0 || until < next {
			next = until
		}
		servers++
	}
	if servers == 0 {
		return 0, false
	}
	return min(next+time.Duration(n-1)*p.cold.rate.interval/time.Duration(servers), warm), true
}

// missesTargetCold reports whether qr misses its target as the n-th call from now, since
// all servers that may run it are cold.
func (p *Pool) missesTargetCold(now time.Time, qr *queuedRequest, n int) bool {
	if len(p.cold.pacers) == 0 {
		return false
	}
	wait, ok := p.coldWait(now, qr.Avoid, n)
	return ok && now.Add(wait+time.Duration(coldSlowdown*float64(p.expectedWork(qr.SlotRequest)))).After(qr.Target)
}

// queuedUpTo returns the number of queued requests of rank r and above it.
func (p *Pool) queuedUpTo(r parser.Rank) int {
	n := 0
	for rank := parser.Urgent; rank <= r; rank++ {
		n += p.queues[rank].len()
	}
	return n
}

// coldSlots returns the slots of s that count for the rate at which a pool completes
// work: slots, or less if the limit of a cold server leaves fewer of them in use.
func (p *Pool) coldSlots(s *tracker.Server, slots float64) float64 {
	if p.cold.pacers[s] == nil {
		return slots
	}
	return min(slots/coldSlowdown, p.meanHoldTime/float64(p.cold.rate.interval))
}

// ColdServers returns the number of cold servers whose calls are limited.
func (p *Pool) ColdServers() int { return len(p.cold.pacers) }

// ColdServers returns the number of cold servers whose calls this instance limits as
// the home of their pools.
func (al *Allocator) ColdServers() int {
	al.mu.RLock()
	defer al.mu.RUnlock()
	n := int64(0)
	for _, w := range al.pools {
		n += w.coldCount.Load()
	}
	return int(n)
}

// ColdWithheld returns the number of slot requests that got no free slot at once because
// its server was cold.
func (al *Allocator) ColdWithheld() uint64 { return al.coldWithheld.Load() }

// coldReason describes the limit of a cold server for operators.
func (p *Pool) coldReason() string {
	return "at most " + strconv.FormatFloat(1/p.cold.rate.interval.Seconds(), 'g', 2, 64) + " calls/s while it is cold"
}
