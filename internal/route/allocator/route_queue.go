package allocator

import "time"

// routeQueue is what a pool keeps of the waiting requests of one route and rank.
type routeQueue struct {
	waiting int           // Number of queued requests.
	askedAt time.Time     // Time of the last request that was queued.
	slack   time.Duration // Usual time to spare of a call on arrival: a maximum that decays with each call.
	drain   drainMeter    // Requests that left the queue by a grant here or elsewhere.
	credit  float64       // Slot time that the route may use under its floor, in nanoseconds.

	shedAt time.Time // Time of the last refusal by the predicted wait; zero when there was none lately.

	// Set by serviceOrder.
	orderRound uint64        // Value of Pool.orderRound for which the others were set.
	work       time.Duration // Expected work of a call.
	workClass  int           // Class of work; see workClassOf.
	overloaded bool          // A request has waited for long; see hasOverloadWait.
	ahead      int           // Used by refuseLate: requests that are served before the one at hand.
}

const (
	// routeFloor is the share of the slot time of a rank that its routes with waiting
	// requests get together whatever the order of service, in equal parts. Without it, a route
	// of longer work gets nothing while shorter work alone exceeds the slots.
	routeFloor = 0.5
	// activePeriod is the time after a queued request for which its route gains credit.
	activePeriod = time.Second
	// slackDecay is the number of calls in which the usual slack of a route decays to
	// about a third.
	slackDecay = 64
	// maxPredictedRoutes limits the routes of a rank with a queue of their own. All
	// that are empty are dropped when it is reached.
	maxPredictedRoutes = 256
)

// routeOf returns the queue of the requests of route, which it creates.
func (q *queue) routeOf(route string) *routeQueue {
	r := q.routes[route]
	if r != nil {
		return r
	}
	if q.routes == nil {
		q.routes = make(map[string]*routeQueue)
	}
	if len(q.routes) >= maxPredictedRoutes {
		for name, other := range q.routes {
			if other.waiting == 0 {
				delete(q.routes, name)
			}
		}
	}
	r = new(routeQueue)
	q.routes[route] = r
	return r
}

// enqueue appends a request to its queue.
func (p *Pool) enqueue(now time.Time, req SlotRequest) *queuedRequest {
	q := &p.queues[req.Rank]
	qr := &queuedRequest{SlotRequest: req, queuedAt: now, route: q.routeOf(req.Route)}
	p.queued[req.ID] = q.requests.PushBack(qr)
	qr.route.askedAt = now
	if qr.route.waiting == 0 {
		qr.route.drain.waiting = false // Requests of a lost entry leave without being counted.
	}
	qr.route.waiting++
	qr.route.drain.advance(now, true)
	if p.predictsWaits() {
		qr.route.recordSlack(req.Target.Sub(now) - p.expectedWork(req))
	}
	return qr
}

// predictsWaits reports whether requests are ordered and refused by predicted waits. This is
// the case where the configuration has bulk rules: their calls have seconds to spare and
// wait beside reads that have a few hundred milliseconds.
func (p *Pool) predictsWaits() bool { return p.usesFreshReports() && p.appliedTable.HasBulkRules }

// drainQueued removes the request of id, if it waits, because it got a slot here or
// elsewhere.
func (p *Pool) drainQueued(now time.Time, id ID) {
	e := p.queued[id]
	if e == nil {
		return
	}
	r := e.Value.(*queuedRequest).route
	p.removeQueued(id)
	r.drain.advance(now, r.waiting > 0)
	r.drain.drained++
}

// recordSlack records the time to spare of a request on its arrival. Retries have
// less of it than first attempts and hardly change the maximum.
func (r *routeQueue) recordSlack(slack time.Duration) {
	r.slack -= (r.slack - slack) / slackDecay
	r.slack = max(r.slack, slack)
}

// predictable reports whether the calls of the route can usually wait for several
// changes of the servers' slowdown, so that the measured rate tells when a request is
// granted.
func (r *routeQueue) predictable() bool { return r.slack >= minPredictableSlack }

// refuseQueued removes qr from its queue and refuses it.
func (p *Pool) refuseQueued(now time.Time, qr *queuedRequest, reason string) {
	p.removeQueued(qr.ID)
	qr.route.drain.advance(now, qr.route.waiting > 0)
	p.refuseRequest(now, qr.SlotRequest, reason)
}

// resetRates discards the measured rates after the process was paused.
func (q *queue) resetRates(now time.Time) {
	for _, r := range q.routes {
		r.drain = drainMeter{waiting: r.waiting > 0, updatedAt: now}
	}
}

// predictWait returns the time until a request of r is granted after ahead others of
// r, by the rate at which requests of r left the queue recently. That rate already
// accounts for the order of service, for the requests of other ranks and routes and
// for the homes of other pools.
func (p *Pool) predictWait(now time.Time, r *routeQueue, work time.Duration, ahead int) time.Duration {
	share := float64(max(r.waiting, 1)) / float64(max(len(p.queued), 1))
	perSecond := share * max(p.serviceSlots(now), 1) / max(work, time.Millisecond).Seconds()
	return r.drain.wait(now, float64(ahead), perSecond)
}

// creditRoutes accounts for a grant of slot time used to the route served. The other
// routes whose requests waited lately gain their part of the floor, and the served one
// pays from what it gained. Requests wait for less than a call takes, so a route that
// gained only while they wait would never have enough for one.
func (q *queue) creditRoutes(now time.Time, served string, used, most float64) {
	active := 0
	for _, r := range q.routes {
		if now.Sub(r.askedAt) <= activePeriod {
			active++
		}
	}
	for route, r := range q.routes {
		switch {
		case route == served:
			r.credit = max(r.credit-used, 0)
		case now.Sub(r.askedAt) <= activePeriod:
			r.credit = min(r.credit+routeFloor*used/float64(active), maxCreditCalls*most)
		default:
			r.credit = 0
		}
	}
}

// serviceSlots returns effectiveSlots for the whole service, as it was at most
// slotsPeriod ago.
func (p *Pool) serviceSlots(now time.Time) float64 {
	if now.Sub(p.slotsCountedAt) >= slotsPeriod || now.Before(p.slotsCountedAt) {
		p.slotsCountedAt, p.countedSlots = now, p.effectiveSlots(now)
	}
	return p.countedSlots * p.slotRatio
}

// slotsPeriod is the time for which a count of the slots of a pool is used.
const slotsPeriod = 20 * time.Millisecond
