package granter

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/mapper"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Granter is the home of the pools that it is asked for. It can be used before
// Run is called; Run drops pools that are no longer used.
type Granter struct {
	Map   *mapper.Holder
	Audit *auditor.Auditor // nil drops the changes.
	Idle  time.Duration    // Time without use after which a pool is dropped; 0 means 1m.
	// Sample starts a probe of a backend server of a service and must not block;
	// its result goes to Observe. nil means that none is possible.
	Sample func(service string, server netip.AddrPort)

	mu    sync.RWMutex
	pools map[Key]*worker
}

const defaultIdle = time.Minute

// Run drops pools without use until ctx is done, then stops all pools.
func (g *Granter) Run(ctx context.Context) error {
	idle := g.Idle
	if idle == 0 {
		idle = defaultIdle
	}
	t := time.NewTicker(idle / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.sweep(time.Now(), 0)
			return nil
		case now := <-t.C:
			g.sweep(now, idle)
		}
	}
}

// sweep stops the pools that were not used for idle; 0 stops all.
func (g *Granter) sweep(now time.Time, idle time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, w := range g.pools {
		// No request is on its way: senders hold g.mu while they send.
		if idle == 0 || now.Sub(time.Unix(0, w.used.Load())) > idle && len(w.requests) == 0 && w.busy.Load() == 0 {
			close(w.quit)
			delete(g.pools, k)
		}
	}
}

// Ask requests a slot of pool k; the replies go to the owner of a.
func (g *Granter) Ask(k Key, a Ask) {
	g.submit(k, &request{op: opAsk, ask: a})
}

// Cancel withdraws an ask; a slot that was granted meanwhile is given back by it.
func (g *Granter) Cancel(k Key, id ID) {
	g.submit(k, &request{op: opCancel, ask: Ask{ID: id}})
}

// Done gives a slot back with the result of the call.
func (g *Granter) Done(k Key, id ID, r tracker.Result) {
	g.submit(k, &request{op: opDone, ask: Ask{ID: id}, figure: tracker.Figure{Result: r}})
}

// Keep takes in the result of a call whose slot the entry keeps for its next call.
func (g *Granter) Keep(k Key, id ID, r tracker.Result) {
	g.submit(k, &request{op: opKeep, ask: Ask{ID: id}, figure: tracker.Figure{Result: r}})
}

// Use counts a call on a slot that the entry kept.
func (g *Granter) Use(k Key, id ID, rank parser.Rank, deadline time.Time) {
	g.submit(k, &request{op: opUse, ask: Ask{ID: id, Rank: rank, Deadline: deadline}})
}

// Held counts a slot that another home granted.
func (g *Granter) Held(k Key, id ID, server netip.AddrPort, rank parser.Rank, deadline time.Time) {
	g.submit(k, &request{op: opHeld, ask: Ask{ID: id, Rank: rank, Deadline: deadline}, server: server})
}

// Observe takes in the result of a probe of a backend server of service. Pools
// that this instance does not hold ignore it.
func (g *Granter) Observe(service string, server netip.AddrPort, f tracker.Figure) {
	g.each(func(k Key) bool { return k.Service == service }, func() *request {
		return &request{op: opObserve, server: server, figure: f}
	})
}

// Resume drops stale figures of all pools after a pause of the process.
func (g *Granter) Resume() {
	g.each(nil, func() *request { return &request{op: opReset} })
}

// close drops the asks and grants of owner in the pools keys.
func (g *Granter) close(owner Receiver, keys map[Key]bool) {
	g.each(func(k Key) bool { return keys[k] }, func() *request {
		return &request{op: opClose, ask: Ask{ID: ID{Owner: owner}}}
	})
}

// each sends a request to the existing pools for which match holds; nil matches all.
func (g *Granter) each(match func(Key) bool, build func() *request) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	for k, w := range g.pools {
		if match == nil || match(k) {
			w.requests <- build()
		}
	}
}

// submit sends r to pool k, which is made when it does not exist. It blocks
// while the pool has more requests than it can hold.
func (g *Granter) submit(k Key, r *request) {
	for {
		g.mu.RLock()
		if w := g.pools[k]; w != nil {
			w.used.Store(time.Now().UnixNano())
			w.requests <- r
			g.mu.RUnlock()
			return
		}
		g.mu.RUnlock()
		g.open(k)
	}
}

func (g *Granter) open(k Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pools[k] != nil {
		return
	}
	if g.pools == nil {
		g.pools = make(map[Key]*worker)
	}
	w := &worker{
		pool: Pool{Key: k, Audit: g.Audit}, maps: g.Map, sample: g.Sample,
		requests: make(chan *request, maxRequests), quit: make(chan struct{}),
	}
	if g.Sample != nil {
		w.pool.Sample = w.probe
	}
	w.used.Store(time.Now().UnixNano())
	g.pools[k] = w
	go w.loop()
}
