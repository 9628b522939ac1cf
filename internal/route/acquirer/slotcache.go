package acquirer

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
)

// keptSlot is a slot that this entry keeps between two calls, which saves the second
// call the round trip to the home.
type keptSlot struct {
	cache  *slotCache
	slot   *Slot
	stream *grantStream
	expiry time.Time
	timer  *time.Timer // Calls expire at expiry.
}

// slotCache holds the kept slots of this entry. Slots of the home on this instance
// are not kept.
type slotCache struct {
	mu          sync.Mutex
	slots       map[string][]*keptSlot // By service, the newest last.
	meanLatency map[string]float64     // By service, EWMA in nanoseconds.
}

const (
	// maxLatencyRatio is the multiple of the mean latency of the service above which
	// a slot is not kept, so that a slow server gets a call only if its home chooses it.
	maxLatencyRatio = 1.5
	// latencyGain is the weight of a new value in the EWMA of the latency.
	latencyGain = 0.1
)

// observeLatency reports whether latency is at most maxLatencyRatio times the mean of
// the earlier calls of service. It adds latency to the mean in either case.
func (c *slotCache) observeLatency(service string, latency time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanLatency == nil {
		c.meanLatency = make(map[string]float64)
	}
	mean, l := c.meanLatency[service], float64(latency)
	if mean == 0 {
		mean = l
	}
	c.meanLatency[service] = mean + latencyGain*(l-mean)
	return l <= maxLatencyRatio*mean
}

// keepSlot keeps the slot of a call that has ended and reports whether it did. It
// requires a latency that observeLatency accepts, an answer of the server, exactly one
// home that counts the slot, and the permission of this home. With a Balancer, a slot in
// another zone is not kept, because the next call may not be worth the crossing. After a
// failed or refused call or a drain notice, it gives back the kept slots of the server
// instead.
func (c *slotCache) keepSlot(s *Slot, r Result) bool {
	if r.Failed || r.Refused || r.Drain {
		c.dropServer(s.ask.acquisition.request.Service, s.Server)
		return false
	}
	if r.Unanswered || len(s.homes) != 1 || s.ask.acquisition.client.NoSlotReuse || s.ask.acquisition.client.isOutside(s.ask.pool) {
		return false
	}
	g, ok := s.homes[0].(*grantStream)
	if !ok || !c.observeLatency(s.ask.acquisition.request.Service, r.Latency) {
		return false
	}
	k := &keptSlot{cache: c, slot: s, stream: g, expiry: time.Now().Add(allocator.MaxKeepTime)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !g.keepSlot(k, r) {
		return false
	}
	if c.slots == nil {
		c.slots = make(map[string][]*keptSlot)
	}
	service := s.ask.acquisition.request.Service
	c.slots[service] = append(c.slots[service], k)
	k.timer = time.AfterFunc(allocator.MaxKeepTime, k.expire)
	return true
}

// dropServer gives back the kept slots of server.
func (c *slotCache) dropServer(service string, server netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.slots[service]) - 1; i >= 0; i-- {
		if k := c.slots[service][i]; k.slot.Server == server {
			k.removeAt(i)
			k.stream.cancelAsk(k.slot.ask)
		}
	}
}

// takeSlot returns the newest kept slot that suits a, or nil if there is none.
func (c *slotCache) takeSlot(a *acquisition) *Slot {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := c.slots[a.request.Service]
	for i := len(slots) - 1; i >= 0; i-- {
		k := slots[i]
		if slices.Contains(a.request.Avoid, k.slot.Server) || !time.Now().Before(k.expiry) {
			continue
		}
		k.removeAt(i)
		if a.client.Withholder.IsEvacuated(k.slot.ask.pool.key.Zone) {
			k.stream.cancelAsk(k.slot.ask)
			continue
		}
		if s := k.useFor(a); s != nil {
			return s
		}
		slots = c.slots[a.request.Service]
	}
	return nil
}

// useFor returns a slot for a that continues the kept one. It returns nil if the
// stream broke or the pool has moved to another home.
func (k *keptSlot) useFor(a *acquisition) *Slot {
	previous := k.slot.ask
	if !a.client.isCurrentHome(previous.pool.key, k.stream) {
		k.stream.cancelAsk(previous)
		return nil
	}
	p := &poolAsk{acquisition: a, pool: previous.pool, number: previous.number, home: previous.home, state: stateClosed}
	s := &Slot{Server: k.slot.Server, ask: p, homes: []home{k.stream}}
	if !k.stream.useSlot(s) {
		return nil
	}
	return s
}

// expire gives the slot back, unless it has been used or given back already.
func (k *keptSlot) expire() {
	k.cache.mu.Lock()
	defer k.cache.mu.Unlock()
	if i := slices.Index(k.cache.slots[k.slot.ask.acquisition.request.Service], k); i >= 0 {
		k.removeAt(i)
		k.stream.cancelAsk(k.slot.ask)
	}
}

// removeAt removes k, which is at index i among the slots of its service. The caller
// holds cache.mu.
func (k *keptSlot) removeAt(i int) {
	service := k.slot.ask.acquisition.request.Service
	k.timer.Stop()
	k.cache.slots[service] = slices.Delete(k.cache.slots[service], i, i+1)
}
