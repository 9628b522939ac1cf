package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// Balancer holds what an entry knows of the load of pools, and the shares of the pools
// in other zones. It is safe for concurrent use.
type Balancer struct {
	Zone   string         // Zone of the entry.
	Price  time.Duration  // Delay that one MB between zones is worth.
	Random func() float64 // Random number in [0, 1); nil means the one of math/rand.
	Audit  *auditor.Trail // nil discards the audit entries.

	mu      sync.Mutex
	pools   map[allocator.PoolKey]*poolNews
	routes  map[routeKey]*route
	changes []auditor.Change // To be recorded when mu is free.
}

// Call describes a call whose pools are chosen.
type Call struct {
	Service  string
	Route    string // Calls of one route have similar work and bytes; may be empty.
	Rank     parser.Rank
	Target   time.Time // Time after which an answer loses value.
	Deadline time.Time
}

const (
	// freshAge is the age up to which news count in full, and staleAge that from
	// which a pool counts as unknown.
	freshAge = time.Second
	staleAge = 3 * time.Second
	// failurePeriod is the time for which a pool that failed is not asked first.
	failurePeriod = time.Second
	// defaultRoundTrip is assumed before a pool in another zone has replied.
	defaultRoundTrip = 2 * time.Millisecond
	// roundTripRise is the factor by which the lowest round trip rises with each reply,
	// so that it follows a path that has become longer.
	roundTripRise = 1.01
	// crossings is the number of round trips of a call in another zone: the ask and
	// the call itself.
	crossings = 2
	// byteGain is the weight of a new value in the EWMA of the bytes of a route.
	byteGain = 0.1
	// maxRoutes and maxPools limit what is kept. Everything is dropped when a limit
	// is reached. Configurations have fewer routes and pools.
	maxRoutes = 1024
	maxPools  = 4096
)

// poolNews is what is known of one pool.
type poolNews struct {
	load      allocator.Load
	at        time.Time // Time of load; zero while there is none.
	failedAt  time.Time
	askedAt   time.Time     // Last time that the pool was asked although it was unknown.
	roundTrip time.Duration // Lowest time to a reply; 0 while unknown.
}

type routeKey struct{ service, name string }

// route is the state of one route of a service.
type route struct {
	key       routeKey
	bytes     float64 // EWMA of the bytes of a call.
	calls     int     // Number of calls in bytes.
	shares    map[allocator.PoolKey]float64
	audited   map[allocator.PoolKey]bool // Pools whose share has an audit entry for its start and none for its end.
	steppedAt time.Time
}

func (b *Balancer) pool(k allocator.PoolKey) *poolNews {
	n := b.pools[k]
	if n == nil {
		if b.pools == nil || len(b.pools) >= maxPools {
			b.pools = make(map[allocator.PoolKey]*poolNews)
		}
		n = new(poolNews)
		b.pools[k] = n
	}
	return n
}

func (b *Balancer) route(service, name string) *route {
	k := routeKey{service, name}
	r := b.routes[k]
	if r == nil {
		if b.routes == nil || len(b.routes) >= maxRoutes {
			b.routes = make(map[routeKey]*route)
		}
		r = &route{key: k, shares: make(map[allocator.PoolKey]float64), audited: make(map[allocator.PoolKey]bool)}
		b.routes[k] = r
	}
	return r
}

// Observe records the load that the home of pool k reports.
func (b *Balancer) Observe(now time.Time, k allocator.PoolKey, l allocator.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.pool(k)
	n.load, n.at = l, now
}

// ObserveRoundTrip records the time from a request to pool k to its first reply.
func (b *Balancer) ObserveRoundTrip(k allocator.PoolKey, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.pool(k)
	if risen := time.Duration(roundTripRise * float64(n.roundTrip)); n.roundTrip > 0 && risen < d {
		d = risen
	}
	n.roundTrip = d
}

// Fail records that a request to pool k or the stream to its home has failed. Its
// shares drop to 0.
func (b *Balancer) Fail(now time.Time, k allocator.PoolKey) {
	defer b.recordChanges()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.pool(k)
	n.failedAt, n.at = now, time.Time{}
	for _, r := range b.routes {
		b.setShare(now, r, k, 0)
	}
}

// RecordBytes records the bytes of the request and the response of a call.
func (b *Balancer) RecordBytes(service, name string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.route(service, name)
	r.calls++
	// The first calls form a plain mean, so that it converges quickly.
	r.bytes += max(byteGain, 1/float64(r.calls)) * (float64(bytes) - r.bytes)
}

// freshness returns 1 for news up to freshAge, 0 from staleAge on or without news, and
// a value in between for others. News from the future, after a step of the clock, are
// unknown.
func (n *poolNews) freshness(now time.Time) float64 {
	age := now.Sub(n.at)
	switch {
	case n.at.IsZero() || age < 0 || age >= staleAge:
		return 0
	case age <= freshAge:
		return 1
	}
	return float64(staleAge-age) / float64(staleAge-freshAge)
}

// isFresh reports whether the news are up to freshAge old. Older ones count in the
// shares, which are corrected by what follows, but not in the decision about one call.
func (n *poolNews) isFresh(now time.Time) bool { return n.freshness(now) == 1 }

// waitOf returns the reported wait of a request of rank.
func (n *poolNews) waitOf(rank parser.Rank) time.Duration {
	return n.load.Waits[min(rank, parser.Patient)]
}

// hasFailed reports whether the pool failed within failurePeriod.
func (n *poolNews) hasFailed(now time.Time) bool {
	return !n.failedAt.IsZero() && now.Sub(n.failedAt) < failurePeriod
}

// crossing returns the time that a call in pool k spends between zones.
func (b *Balancer) crossing(k allocator.PoolKey) time.Duration {
	if k.Zone == b.Zone {
		return 0
	}
	if n := b.pools[k]; n != nil && n.roundTrip > 0 {
		return crossings * n.roundTrip
	}
	return crossings * defaultRoundTrip
}

// cost returns the cost of a call of r in pool k: the crossing and the price of its
// bytes.
func (b *Balancer) cost(r *route, k allocator.PoolKey) time.Duration {
	if k.Zone == b.Zone {
		return 0
	}
	return b.crossing(k) + time.Duration(float64(b.Price)*r.bytes/1e6)
}

func (b *Balancer) random() float64 {
	if b.Random != nil {
		return b.Random()
	}
	return rand.Float64()
}
