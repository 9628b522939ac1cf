package allocator

import (
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Observer receives what the homes on this instance decide about waiting requests. Its
// methods are called by the goroutines of the pools and must not block.
type Observer interface {
	// ObserveRefusal is called for each refused request.
	ObserveRefusal(service, route, reason string)
	// ObserveWait is called for each granted request that waited for a slot, with the
	// wait that was predicted on its arrival.
	ObserveWait(service string, predicted, actual time.Duration)
}

// observeWait reports the wait of the granted request qr.
func (p *Pool) observeWait(now time.Time, qr *queuedRequest) {
	if p.Observer != nil && qr.notified {
		p.Observer.ObserveWait(p.Key.Service, qr.predicted, now.Sub(qr.queuedAt))
	}
}

// recordPrediction sets the predicted wait of the new request qr.
func (p *Pool) recordPrediction(now time.Time, qr *queuedRequest) {
	if p.Observer != nil {
		qr.predicted = p.predictWait(now, qr.route, p.expectedWork(qr.SlotRequest), qr.route.waiting-1)
	}
}

// sheddingPeriod is the time without a refusal after which a route no longer counts as
// refused by its predicted wait.
const sheddingPeriod = 5 * time.Second

// recordShedding notes that a request of the route name was refused because of its
// predicted wait, and writes an audit entry for the first one.
func (p *Pool) recordShedding(now time.Time, r *routeQueue, name string) {
	if r.shedAt.IsZero() {
		p.auditShedding(now, name, "admitted", "refused")
	}
	r.shedAt = now
}

// endShedding writes an audit entry for each route of q that has not been refused for
// sheddingPeriod.
func (p *Pool) endShedding(now time.Time, q *queue) {
	for name, r := range q.routes {
		if !r.shedAt.IsZero() && now.Sub(r.shedAt) > sheddingPeriod {
			r.shedAt = time.Time{}
			p.auditShedding(now, name, "refused", "admitted")
		}
	}
}

func (p *Pool) auditShedding(now time.Time, route, before, after string) {
	p.Audit.RecordChange(auditor.Change{
		Time: now, Component: "route", Subject: "pool " + p.Key.String() + " route " + route, Cause: "predicted wait", Before: before, After: after,
	})
}
