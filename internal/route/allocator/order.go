package allocator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// workClassFactor is the ratio between the bounds of a work class. The work of
// a single call varies by about a third, so smaller differences between
// requests are ignored.
const workClassFactor = 1.3

// serviceOrder returns the requests of q in the order in which they are to be
// served. Requests that can still meet their target go first, and of these the ones
// with the least time left until they must start. Under overload, those of shorter
// work go first, which lets the most calls meet their target. Within a work class,
// the newest requests of an overloaded route go first: by least slack, all would
// just miss their targets. Routes with predictable waits stay in order of arrival,
// because requests that would miss their target are refused, and because a retry that
// goes ahead of those that have waited long makes these miss their target.
func (p *Pool) serviceOrder(now time.Time, q *queue) []*queuedRequest {
	all := p.orderBuffer[:0]
	p.orderRound++
	for e := q.requests.Front(); e != nil; e = e.Next() {
		qr := e.Value.(*queuedRequest)
		p.prepareOrder(now, qr)
		all = append(all, qr)
	}
	p.orderBuffer = all
	switch {
	case len(all) < 2:
	case !p.usesFreshReports():
		p.orderByArrival(all, q.overloaded(now))
	case !p.predictsWaits():
		p.orderByArrival(all, hasOverloadWait(now, all[0]))
	default:
		overloaded := hasOverloadWait(now, all[0])
		slices.SortStableFunc(all, func(a, b *queuedRequest) int { return compareRequests(a, b, overloaded) })
		if overloaded {
			favourRoute(all)
		}
	}
	return all
}

// prepareOrder sets what serviceOrder needs to know of qr and its route.
func (p *Pool) prepareOrder(now time.Time, qr *queuedRequest) {
	r := qr.route
	if r.orderRound != p.orderRound {
		r.orderRound, r.overloaded = p.orderRound, false
		r.work = p.expectedWork(qr.SlotRequest)
		r.workClass = workClassOf(r.work)
	}
	qr.latestStart = qr.Target.Add(-r.work)
	qr.missesTarget = now.After(qr.latestStart)
	qr.orderTime = qr.latestStart
	if r.predictable() {
		qr.orderTime = qr.queuedAt.Add(r.slack)
	}
	r.overloaded = r.overloaded || hasOverloadWait(now, qr)
}

// hasOverloadWait reports whether qr has waited for half of the wait after which it is
// refused in a queue whose wait is not predictable. If the oldest request has, the
// rank is overloaded.
func hasOverloadWait(now time.Time, qr *queuedRequest) bool {
	return now.Sub(qr.queuedAt) > maxWait(qr.latestStart.Sub(qr.queuedAt))/2
}

// orderByArrival orders requests by arrival, or the newest of the shortest work first.
func (p *Pool) orderByArrival(all []*queuedRequest, newestFirst bool) {
	if newestFirst {
		slices.Reverse(all)
	}
	slices.SortStableFunc(all, func(a, b *queuedRequest) int {
		c := compareBools(a.missesTarget, b.missesTarget)
		if c != 0 || !newestFirst {
			return c
		}
		return cmp.Compare(a.route.workClass, b.route.workClass)
	})
}

// compareRequests orders two requests of a pool that uses fresh reports. Overloaded
// tells whether their rank is.
func compareRequests(a, b *queuedRequest, overloaded bool) int {
	if c := compareBools(a.missesTarget, b.missesTarget); c != 0 {
		return c
	}
	if overloaded {
		if c := cmp.Compare(a.route.workClass, b.route.workClass); c != 0 {
			return c
		}
		if a.route == b.route && a.route.overloaded && !a.route.predictable() {
			return b.queuedAt.Compare(a.queuedAt)
		}
	}
	return a.orderTime.Compare(b.orderTime)
}

// favourRoute moves the first request of the route with the most credit to the front
// of all if the credit is enough for its call.
func favourRoute(all []*queuedRequest) {
	best, most := 0, 0.0
	for i, qr := range all {
		if credit := qr.route.credit; !qr.missesTarget && credit > most && credit >= float64(qr.route.work) {
			best, most = i, credit
		}
	}
	first := all[best]
	copy(all[1:best+1], all[:best])
	all[0] = first
}

// workClassOf returns the logarithm of work to the base workClassFactor, rounded
// down, so that requests of similar work have the same class.
func workClassOf(work time.Duration) int {
	if work <= 0 {
		return 0
	}
	return int(math.Floor(math.Log(float64(work)) / math.Log(workClassFactor)))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
