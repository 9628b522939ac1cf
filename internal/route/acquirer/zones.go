package acquirer

import (
	"cmp"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/balancer"
)

// choosePools returns the pools that the call of req may use: the first one to ask, and
// the others to ask when it has no free slot. The Balancer may move a pool of another
// zone to the front.
func (c *Client) choosePools(req *Request) (first pool, others []pool, ok bool) {
	pools := c.poolsOf(req.Service)
	first, others, ok = pools.choosePools()
	if c.activeBalancer() == nil || !ok || len(pools.sameRegion) == 0 {
		return first, others, ok
	}
	var key allocator.PoolKey
	var moved bool
	if len(pools.sameZone) > 0 {
		outside := slices.DeleteFunc(poolKeys(others), func(k allocator.PoolKey) bool { return k.Zone == c.Zone })
		key, moved = c.Balancer.Choose(time.Now(), balancerCall(req), poolKeys(pools.sameZone), outside)
	} else {
		key, moved = c.Balancer.ChooseOutside(time.Now(), balancerCall(req), append(poolKeys(others), first.key))
	}
	if !moved || key == first.key {
		return first, others, true
	}
	others = slices.Clone(others) // choosePools may return a part of pools.
	i := slices.IndexFunc(others, func(p pool) bool { return p.key == key })
	first, others[i] = others[i], first
	return first, others, true
}

// activeBalancer returns the Balancer, or nil while calls are not divided by it.
func (c *Client) activeBalancer() *balancer.Balancer {
	if c.UseBalancer != nil && !c.UseBalancer() {
		return nil
	}
	return c.Balancer
}

func poolKeys(pools []pool) []allocator.PoolKey {
	keys := make([]allocator.PoolKey, len(pools), len(pools)+1)
	for i := range pools {
		keys[i] = pools[i].key
	}
	return keys
}

func balancerCall(req *Request) balancer.Call {
	return balancer.Call{Service: req.Service, Route: req.Route, Rank: req.Rank, Target: req.Target, Deadline: req.Deadline}
}

// outsideReplyTimeout is the time within which a pool of another zone that is asked
// first must reply, before the own zone is asked too. It covers a round trip and the
// probes of a home, and leaves time for the call to meet its target.
const outsideReplyTimeout = 50 * time.Millisecond

// isOutside reports whether the Balancer treats p as a pool of another zone.
func (c *Client) isOutside(p pool) bool { return c.activeBalancer() != nil && p.key.Zone != c.Zone }

// watchReplyFromOutside makes awaitSlot look for other pools when first is in another
// zone and does not reply.
func (a *acquisition) watchReplyFromOutside(first pool) {
	if a.client.isOutside(first) {
		a.recheck = time.After(outsideReplyTimeout)
	}
}

// handleRecheck notes at the end of a.recheck whether the first pool still owes a reply.
func (a *acquisition) handleRecheck() {
	a.recheck = nil
	a.mu.Lock()
	first := a.asks[0]
	overdue := first.state == stateSent && a.client.isOutside(first.pool)
	a.mu.Unlock()
	if overdue && !a.overdue {
		a.overdue = true
		a.client.failPool(first.pool.key)
	}
}

// askOthers asks those of otherPools that are worth it, which are all without a
// Balancer, and returns their number.
func (a *acquisition) askOthers() int {
	if len(a.otherPools) == 0 {
		return 0
	}
	ask := a.otherPools
	if b := a.client.activeBalancer(); b != nil {
		keys, recheck := b.Others(time.Now(), balancerCall(&a.request), a.askedPools(), poolKeys(a.otherPools))
		if recheck > 0 {
			a.recheck = time.After(recheck)
		}
		ask = slices.DeleteFunc(slices.Clone(a.otherPools), func(p pool) bool { return !slices.Contains(keys, p.key) })
	}
	a.otherPools = slices.DeleteFunc(slices.Clone(a.otherPools), func(p pool) bool { return slices.Contains(ask, p) })
	for _, p := range ask {
		a.askPool(p)
	}
	return len(ask)
}

// askedPools returns the pools that the call has asked, in this order.
func (a *acquisition) askedPools() []balancer.Asked {
	a.mu.Lock()
	defer a.mu.Unlock()
	asked := make([]balancer.Asked, len(a.asks))
	for i, p := range a.asks {
		asked[i] = balancer.Asked{Pool: p.pool.key, At: p.sentAt}
		if p.state == stateRefused {
			asked[i].Refusal = cmp.Or(p.refusal.Reason, allocator.ReasonNone)
		}
	}
	return asked
}

// observeReply passes what the reply r of h says of the load of its pool to the
// Balancer. It ignores an instance outside the zone of the pool: that one is a home only
// while no instance of the zone is in reach, and may not reach the servers either.
func (c *Client) observeReply(p *poolAsk, h home, r allocator.Reply) {
	if c.activeBalancer() == nil {
		return
	}
	zone := c.Zone
	g, remote := h.(*grantStream)
	if remote {
		zone = g.zone
	}
	if zone != p.pool.key.Zone {
		return
	}
	now := time.Now()
	if r.Load != nil {
		c.Balancer.Observe(now, p.pool.key, *r.Load)
	}
	p.acquisition.mu.Lock()
	first, sentAt := p.state == stateSent && p.home == h, p.sentAt
	p.acquisition.mu.Unlock()
	if first && remote {
		c.Balancer.ObserveRoundTrip(p.pool.key, now.Sub(sentAt))
	}
}

// failPool tells the Balancer that the home of pool k was not reached.
func (c *Client) failPool(k allocator.PoolKey) {
	if c.activeBalancer() != nil {
		c.Balancer.Fail(time.Now(), k)
	}
}

// failPoolsOf tells the Balancer that the stream to the home of some pools broke.
func (c *Client) failPoolsOf(g *grantStream) {
	if c.activeBalancer() == nil {
		return
	}
	c.mu.Lock()
	var keys []allocator.PoolKey
	for k, h := range c.lastHomes {
		if h.home == home(g) {
			keys = append(keys, k)
		}
	}
	c.mu.Unlock()
	for _, k := range keys {
		c.failPool(k)
	}
}

// countAsk counts an ask of pool k in the metrics.
func (c *Client) countAsk(k allocator.PoolKey) {
	if c.Metrics != nil {
		c.Metrics.ZoneAsks.WithLabelValues(k.Service, c.zoneLabel(k)).Inc()
	}
}

func (c *Client) zoneLabel(k allocator.PoolKey) string {
	if k.Zone == c.Zone {
		return "own"
	}
	return "other"
}

// RecordBytes records the bytes of the bodies of the call that used the slot.
func (s *Slot) RecordBytes(n int64) {
	if s.ask == nil {
		return
	}
	c, key := s.ask.acquisition.client, s.ask.pool.key
	if c.Metrics != nil {
		c.Metrics.ZoneBytes.WithLabelValues(key.Service, c.zoneLabel(key)).Add(float64(n))
	}
	if c.activeBalancer() != nil {
		c.Balancer.RecordBytes(key.Service, s.ask.acquisition.request.Route, n)
	}
}
