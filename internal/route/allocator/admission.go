package allocator

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/router"
)

// During overload, calls that can no longer meet their target take slots from
// calls that still can. A request is therefore refused, while others wait, as
// soon as it is unlikely to meet its target, so that its caller can still retry
// in time. Estimating the wait on arrival is not accurate enough for this,
// because the slowdown of the servers changes faster than the queue drains.
const (
	// minWorkShare is the share of its expected work that a call needs at
	// least. The work of single calls varies by about a third, so hardly any
	// call ends sooner.
	minWorkShare = 0.5
	// assumedWorkShare is the share of the time to its target that is assumed as
	// the work of a call while no call of its route or rank has ended. Targets are
	// usually a small multiple of the work.
	assumedWorkShare = 1.0 / 3
	// maxCutWorkFactor is the multiple of the expected work below which a call
	// that its deadline ended does not count as a failure of the server.
	maxCutWorkFactor = 2
	// maxWaitShare is the share of its slack, the time to spare before its
	// target, for which a request may wait while others wait too. Under overload the
	// newest requests are served first, so few are served after a longer wait,
	// and their callers should be refused early.
	maxWaitShare = 0.25
	// missedTargetMaxWait is the longest wait of a request that misses its
	// target even if it is granted at once. It is about the wait for the next
	// free slot in a pool that is not overloaded.
	missedTargetMaxWait = 50 * time.Millisecond
	// minPredictableSlack is the slack from which the wait of a request is predicted.
	// It is twice the time after which the servers' slowdown changes.
	minPredictableSlack = time.Second
	// minSlowdown is the lowest slowdown by which the slots of a server are
	// weighted. It is also assumed for a server without a recent report.
	minSlowdown = 1.0
)

// slowdownAdjustedWait estimates the time until the last queued request of rank
// r is served: the work of the requests served before it, divided by the rate at
// which the service completes work. A request that waits here also waits at the
// homes of the other pools of its service, so the rate covers the slots of the
// whole service, assuming that all pools have the same slowdown.
func (p *Pool) slowdownAdjustedWait(now time.Time, r parser.Rank) time.Duration {
	workAhead := 0.0
	for rank := parser.Urgent; rank <= r; rank++ {
		q := &p.queues[rank]
		work := q.meanWork
		if work == 0 {
			work = p.meanHoldTime
		}
		workAhead += float64(q.len()) * work
	}
	return time.Duration(workAhead / max(p.effectiveSlots(now)*p.slotRatio, 1))
}

// effectiveSlots returns the grantable slots of the pool, each weighted by the
// inverse of the slowdown of its server, so that slow servers count for less.
func (p *Pool) effectiveSlots(now time.Time) float64 {
	slots := 0.0
	for _, s := range p.servers.Servers() {
		if s.Capacity(now) == 0 || s.InProbeBackoff(now) {
			continue
		}
		slowdown, age, ok := s.Slowdown(now)
		if !ok || age > maxHighSlowdownAge {
			slowdown = minSlowdown
		}
		slots += p.coldSlots(s, float64(p.grantableSlots(now, s))/max(slowdown, minSlowdown))
	}
	return slots
}

// serviceSlotRatio returns the number of slots of all servers of s divided by
// the number of slots of members, the servers of one pool. Servers that
// take no calls do not count. A server without a number of slots of its own counts as one slot.
func serviceSlotRatio(s *router.Service, members []router.BackendServer) float64 {
	own, all := 0, 0
	for i := range members {
		if members[i].TakesCalls() {
			own += max(members[i].Slots, 1)
		}
	}
	for i := range s.Servers {
		if s.Servers[i].TakesCalls() {
			all += max(s.Servers[i].Slots, 1)
		}
	}
	if own == 0 {
		return 1
	}
	return float64(all) / float64(own)
}

// shouldRefuse reports whether the queued request qr should be refused, because
// its call would end after its deadline or because it has waited for longer than
// maxWait while other requests of its rank wait too.
func (p *Pool) shouldRefuse(now time.Time, qr *queuedRequest, ahead int) bool {
	if !p.usesFreshReports() {
		return now.Add(p.medianLatency(now)).After(qr.Deadline)
	}
	if p.missesDeadline(now, qr.SlotRequest) {
		return true
	}
	if p.queues[qr.Rank].len() < 2 {
		return false
	}
	if qr.route.predictable() {
		return !hasProspect(p.predictWait(now, qr.route, qr.route.work, ahead), qr.latestStart.Sub(now), true)
	}
	return now.Sub(qr.queuedAt) > maxWait(qr.latestStart.Sub(qr.queuedAt))
}

// refuseLate refuses the queued requests that will not be served in time.
func (p *Pool) refuseLate(now time.Time) {
	for r := range p.queues {
		q := &p.queues[r]
		for _, route := range q.routes {
			route.ahead = 0
		}
		p.endShedding(now, q)
		for _, qr := range p.serviceOrder(now, q) {
			if p.shouldRefuse(now, qr, qr.route.ahead) || p.missesTargetCold(now, qr, 1) {
				if qr.route.predictable() {
					p.recordShedding(now, qr.route, qr.Route)
				}
				p.refuseQueued(now, qr, ReasonLate)
			} else {
				qr.route.ahead++
			}
		}
	}
}

// lacksProspect reports whether the new request qr will not be granted in time.
func (p *Pool) lacksProspect(now time.Time, qr *queuedRequest) bool {
	ahead := qr.route.waiting - 1
	if ahead == 0 || !p.usesFreshReports() || !qr.route.predictable() {
		return false
	}
	work := p.expectedWork(qr.SlotRequest)
	left := qr.Target.Sub(now) - work
	return !hasProspect(p.predictWait(now, qr.route, work, ahead), left, false)
}

// retryDelay returns the time after which the requests that wait before a retry of
// the refused req have got their slots. On routes without a predictable wait, where
// the newest go first under overload, a retry does not wait for all of these, and a
// measured rate made callers come back too late for their targets.
func (p *Pool) retryDelay(now time.Time, req SlotRequest) time.Duration {
	route, estimate := p.queues[req.Rank].routeOf(req.Route), p.slowdownAdjustedWait(now, req.Rank)
	if !route.predictable() {
		return estimate
	}
	return max(p.predictWait(now, route, p.expectedWork(req), route.waiting), estimate)
}

// missesDeadline reports whether the call of req cannot end before its deadline
// on any server, even if it needs less work than usual.
func (p *Pool) missesDeadline(now time.Time, req SlotRequest) bool {
	return now.Add(time.Duration(minWorkShare * float64(p.expectedWork(req)))).After(req.Deadline)
}

// maxWait returns how long a request may wait while other requests of its rank
// wait: the share maxWaitShare of its slack, so that the caller can still retry in
// time after a refusal. The slack is the time from the arrival of the request to its
// target, less the expected work.
func maxWait(slack time.Duration) time.Duration {
	if slack <= 0 {
		return missedTargetMaxWait
	}
	return time.Duration(maxWaitShare * float64(slack))
}
