package balancer

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

const (
	// horizon is the time ahead for which the wait at a pool is predicted. By the
	// present wait alone, shares stay too low: calls that wait ask other zones too,
	// which keeps the wait short although the zone lacks slots. A longer horizon moves
	// more calls in an overload of all zones, because rates fluctuate.
	horizon = 250 * time.Millisecond
	// targetUse is the use of the slots of a pool up to which its queue stays short.
	targetUse = 0.9
	// maxUse limits the use of a pool, also of one without slots.
	maxUse = 3.0
	// gainScale is the gain from which a share moves at its full speed.
	gainScale = 100 * time.Millisecond
	// riseRate is the part of the calls in the own zone by which shares rise in a
	// second at full speed, and fallRate the part of a share by which it falls. Reports
	// and arrival rates lag by up to 1 s, so faster shares overshoot.
	riseRate = 0.5
	fallRate = 0.5
	// minShare is the share below which none is kept.
	minShare = 0.005
	// minAuditedShare is the share from which audit entries tell its start and end.
	minAuditedShare = 0.1
	// minStep and maxStep limit the time that one step of the shares counts.
	minStep = 50 * time.Millisecond
	maxStep = time.Second
)

// Choose returns the pool of another zone that a call asks first, according to the
// shares; ok is false when it should ask the own zone. The pools are those of the own
// zone and of the others.
func (b *Balancer) Choose(now time.Time, c Call, own, others []allocator.PoolKey) (k allocator.PoolKey, ok bool) {
	defer b.recordChanges()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.route(c.Service, c.Route)
	b.step(now, r, c.Rank, own, others)
	u := b.random()
	for _, k := range others {
		n := b.pool(k)
		if n.hasFailed(now) {
			continue
		}
		if u -= r.shares[k] * n.freshness(now); u < 0 {
			return k, true
		}
	}
	return allocator.PoolKey{}, false
}

// ChooseOutside returns the pool that a call asks first when its zone has none: the
// better one of two random pools.
func (b *Balancer) ChooseOutside(now time.Time, c Call, pools []allocator.PoolKey) (k allocator.PoolKey, ok bool) {
	if len(pools) == 0 {
		return allocator.PoolKey{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.route(c.Service, c.Route)
	first := int(b.random() * float64(len(pools)))
	second := first
	if len(pools) > 1 {
		second = (first + 1 + int(b.random()*float64(len(pools)-1))) % len(pools)
	}
	if b.expected(now, r, c.Rank, pools[second]) < b.expected(now, r, c.Rank, pools[first]) {
		first = second
	}
	return pools[first], true
}

// expected returns the predicted wait at pool k plus its cost, as a pool that is chosen
// first. An unknown pool counts as free, a failed one as the last choice.
func (b *Balancer) expected(now time.Time, r *route, rank parser.Rank, k allocator.PoolKey) time.Duration {
	n := b.pool(k)
	if n.hasFailed(now) {
		return math.MaxInt64
	}
	cost := b.cost(r, k)
	if n.freshness(now) == 0 {
		return cost
	}
	return cost + max(predictedWait(&n.load, rank), 0)
}

// predictedWait returns the wait after horizon, which is negative when the pool has
// slots to spare.
func predictedWait(l *allocator.Load, rank parser.Rank) time.Duration {
	use := maxUse
	if l.Slots > 0 {
		use = min(l.Rate*l.Work.Seconds()/l.Slots, maxUse)
	}
	return l.Waits[min(rank, parser.Patient)] + time.Duration((use-targetUse)*float64(horizon))
}

// step moves the shares of r by the time since the last step.
func (b *Balancer) step(now time.Time, r *route, rank parser.Rank, own, others []allocator.PoolKey) {
	dt := min(now.Sub(r.steppedAt), maxStep)
	if dt >= 0 && dt < minStep {
		return
	}
	r.steppedAt = now
	dt = max(dt, 0)
	for k := range r.shares {
		if !slices.Contains(others, k) {
			b.setShare(now, r, k, 0) // The pool has left the table.
		}
	}
	ownWait, ownFreshness := b.ownWait(now, rank, own)
	total := 0.0
	for _, share := range r.shares {
		total += share
	}
	for _, k := range others {
		n := b.pool(k)
		freshness := ownFreshness * n.freshness(now)
		if freshness == 0 {
			b.moveShare(now, r, k, -dt.Seconds()*r.shares[k]) // Unknown: back to the own zone.
			continue
		}
		gain := ownWait - max(predictedWait(&n.load, rank), 0) - b.cost(r, k)
		speed := freshness * min(max(float64(gain)/float64(gainScale), -1), 1) * dt.Seconds()
		if speed > 0 {
			b.moveShare(now, r, k, riseRate*speed*max(1-total, 0)/float64(len(others)))
		} else {
			b.moveShare(now, r, k, fallRate*speed*r.shares[k])
		}
	}
}

// moveShare adds delta to the share of pool k.
func (b *Balancer) moveShare(now time.Time, r *route, k allocator.PoolKey, delta float64) {
	share := r.shares[k] + delta
	if share < minShare && delta <= 0 {
		share = 0
	}
	b.setShare(now, r, k, share)
}

// setShare sets the share of pool k; 0 removes it. It notes the start and the end of
// shares that reach minAuditedShare for the audit trail.
func (b *Balancer) setShare(now time.Time, r *route, k allocator.PoolKey, share float64) {
	before, audited := r.shares[k], r.audited[k]
	if share <= 0 {
		delete(r.shares, k)
		delete(r.audited, k)
	} else {
		r.shares[k] = share
	}
	if share >= minAuditedShare && !audited {
		r.audited[k] = true
	} else if share > 0 || !audited {
		return
	}
	b.changes = append(b.changes, auditor.Change{
		Time: now, Component: "route", Subject: "pool " + k.String(), Cause: "share of the calls of another zone: " + r.key.service + " " + r.key.name,
		Before: formatShare(before), After: formatShare(share),
	})
}

func formatShare(share float64) string { return strconv.FormatFloat(share, 'f', 2, 64) }

// recordChanges records the noted changes in the audit trail, which may block. The
// caller does not hold b.mu.
func (b *Balancer) recordChanges() {
	b.mu.Lock()
	changes := b.changes
	b.changes = nil
	b.mu.Unlock()
	for _, c := range changes {
		b.Audit.RecordChange(c)
	}
}

// ownWait returns the mean predicted wait at the pools of the own zone of which there
// are news, and the freshness of the freshest.
func (b *Balancer) ownWait(now time.Time, rank parser.Rank, own []allocator.PoolKey) (wait time.Duration, freshness float64) {
	count := time.Duration(0)
	for _, k := range own {
		n := b.pool(k)
		if f := n.freshness(now); f > 0 {
			wait, freshness = wait+predictedWait(&n.load, rank), max(freshness, f)
			count++
		}
	}
	return wait / max(count, 1), freshness
}

// RouteStatus is the state of one route of a service.
type RouteStatus struct {
	Service, Route string
	Bytes          int64 // Mean bytes of a call.
	Shares         []PoolShare
}

// PoolShare is the share of one pool in another zone.
type PoolShare struct {
	Pool  allocator.PoolKey
	Share float64
}

// RouteStatuses returns the state of all routes, sorted by service and route, with the
// shares as they count now.
func (b *Balancer) RouteStatuses(now time.Time) []RouteStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []RouteStatus
	for key, r := range b.routes {
		s := RouteStatus{Service: key.service, Route: key.name, Bytes: int64(r.bytes)}
		for k, share := range r.shares {
			if effective := share * b.pool(k).freshness(now); effective > 0 {
				s.Shares = append(s.Shares, PoolShare{k, effective})
			}
		}
		slices.SortFunc(s.Shares, func(a, b PoolShare) int { return cmp.Compare(a.Pool.String(), b.Pool.String()) })
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b RouteStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
	})
	return all
}
