package balancer

import (
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
)

const (
	// discoveryPeriod is the time between two requests to a pool that is asked because
	// it is unknown, from one entry.
	discoveryPeriod = time.Second
	// minRecheck is the shortest time after which the decision about a waiting call is
	// repeated.
	minRecheck = 5 * time.Millisecond
)

// Asked is a pool that a call has asked.
type Asked struct {
	Pool    allocator.PoolKey
	At      time.Time
	Refusal string // Reason of the refusal; empty while the home may still grant a slot.
}

// Others returns which of the remaining pools a call should ask now, after asked[0],
// the first one, has queued or refused its request. While others are left that may be
// worth asking later, recheck is the time after which to decide again, else it is 0.
func (b *Balancer) Others(now time.Time, c Call, asked []Asked, remaining []allocator.PoolKey) (ask []allocator.PoolKey, recheck time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.route(c.Service, c.Route)
	here, known := b.waitHere(now, r, c, asked)
	if !known {
		return remaining, 0 // As without news: all at once.
	}
	for _, k := range remaining {
		if k.Zone == b.Zone {
			ask = append(ask, k)
			continue
		}
		again, worth := b.isWorthAsking(now, r, c, here, k)
		switch {
		case worth:
			ask = append(ask, k)
		case recheck == 0 || again > 0 && again < recheck:
			recheck = again
		}
	}
	if recheck > 0 {
		recheck = max(recheck, minRecheck)
	}
	return ask, recheck
}

// pending is the state of a call that waits at one or more pools.
type pending struct {
	refused bool          // No home is left that may grant a slot.
	denied  bool          // The first pool has no server for the call, so its wait says nothing.
	total   time.Duration // Lowest expected wait plus cost; if refused, that at the first pool.
	wait    time.Duration // Wait at that pool.
	work    time.Duration // Work of a call there.
}

// waitHere returns what the call may expect of the pools that it has asked. It returns
// false while the first one is open and unknown.
func (b *Balancer) waitHere(now time.Time, r *route, c Call, asked []Asked) (here pending, known bool) {
	here.refused = true
	for i, a := range asked {
		n := b.pool(a.Pool)
		if a.Refusal != "" {
			if i == 0 {
				here.denied = a.Refusal == allocator.ReasonNone || !n.isFresh(now)
				here.total = n.waitOf(c.Rank) + b.cost(r, a.Pool)
			}
			continue
		}
		if !n.isFresh(now) {
			if i == 0 {
				return here, false
			}
			continue
		}
		// A call that has waited for longer than expected will wait for about as long again.
		wait := max(n.waitOf(c.Rank), now.Sub(a.At))
		if total := wait + b.cost(r, a.Pool); here.refused || total < here.total {
			here = pending{denied: here.denied, total: total, wait: wait + b.crossing(a.Pool)/crossings, work: n.load.Work}
		}
	}
	return here, true
}

// isWorthAsking reports whether a waiting call should ask pool k of another zone. If
// not, again is the time after which this may change, or 0.
func (b *Balancer) isWorthAsking(now time.Time, r *route, c Call, here pending, k allocator.PoolKey) (again time.Duration, worth bool) {
	n := b.pool(k)
	known := n.isFresh(now)
	wait, work, free := time.Duration(0), here.work, true
	if known {
		wait, work, free = n.waitOf(c.Rank), n.load.Work, n.load.Free > 0
	}
	finish := now.Add(wait + b.crossing(k) + work)
	if here.refused {
		// A pool that is as loaded as the first would refuse the call too, or serve it
		// in place of a call of its own zone.
		elsewhere := here.denied || !known || free || wait+b.cost(r, k) < here.total
		return 0, elsewhere && (!known || !finish.After(c.Deadline))
	}
	toTarget := c.Target.Sub(now) - here.wait - here.work
	if toTarget < 0 && (free || !finish.After(c.Target)) {
		return 0, true // The call would miss its target here.
	}
	if needed := wait + b.cost(r, k); here.total <= needed {
		again = needed - here.total + time.Millisecond
	} else if known {
		return 0, true
	} else if due := n.askedAt.Add(discoveryPeriod).Sub(now); due <= 0 || due > discoveryPeriod {
		n.askedAt = now
		return 0, true
	} else {
		again = due
	}
	if toTarget > 0 {
		again = min(again, toTarget)
	}
	return again, false
}
