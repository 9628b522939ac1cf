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
// served. Requests that can still meet their target go first. Under overload,
// those of shorter work go first, which lets the most calls meet their target,
// and the newest first within a work class. Otherwise the oldest goes first.
func (p *Pool) serviceOrder(now time.Time, q *queue) []*queuedRequest {
	all := p.orderBuffer[:0]
	for e := q.requests.Front(); e != nil; e = e.Next() {
		qr := e.Value.(*queuedRequest)
		qr.missesTarget = p.missesTarget(now, qr)
		all = append(all, qr)
	}
	p.orderBuffer = all
	if len(all) < 2 {
		return all
	}
	if !p.overloaded(now, q) {
		slices.SortStableFunc(all, func(a, b *queuedRequest) int { return compareBools(a.missesTarget, b.missesTarget) })
		return all
	}
	slices.Reverse(all)
	for _, qr := range all {
		qr.workClass = workClassOf(p.expectedWork(qr.SlotRequest))
	}
	slices.SortStableFunc(all, func(a, b *queuedRequest) int {
		return cmp.Or(compareBools(a.missesTarget, b.missesTarget), cmp.Compare(a.workClass, b.workClass))
	})
	return all
}

// overloaded reports whether the oldest request of q has waited long enough
// that the newest should be served first. In a pool that uses fresh reports, that
// is half of the wait after which the oldest request is refused.
func (p *Pool) overloaded(now time.Time, q *queue) bool {
	front := q.requests.Front()
	if front == nil || !p.usesFreshReports() {
		return q.overloaded(now)
	}
	oldest := front.Value.(*queuedRequest)
	return now.Sub(oldest.queuedAt) > p.maxWait(oldest)/2
}

// missesTarget reports whether the call of qr would end after its target even if
// it were granted now.
func (p *Pool) missesTarget(now time.Time, qr *queuedRequest) bool {
	return now.Add(p.expectedWork(qr.SlotRequest)).After(qr.Target)
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
