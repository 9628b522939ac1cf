package balancer_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/balancer"
)

const (
	callWork    = 200 * time.Millisecond
	callTarget  = 500 * time.Millisecond
	replayStep  = 5 * time.Millisecond
	newsPeriod  = 100 * time.Millisecond
	refusedWait = 300 * time.Millisecond // Calls that would wait for longer are refused.
)

// site is a zone in a replay: its callers, its entries and its pool.
type site struct {
	key         allocator.PoolKey
	rate        float64 // Calls per second of its callers.
	slots       float64
	entries     []*balancer.Balancer
	lastNews    map[*balancer.Balancer]time.Time // Last report of the pool to an entry.
	unreachable map[string]bool                  // Zones that cannot reach this one.
	backlog     float64                          // Seconds of work at the pool.
	arrivals    float64                          // Decayed over 1 s.

	calls, late, first, crossed, asks, failed int // Calls of the callers; first: sent to another zone first; asks of other zones, also failed ones.
}

// replay plays calls at sites in virtual time. Without a price, a call that waits asks
// all pools, as without a balancer.
type replay struct {
	now   time.Time
	sites []*site
	rng   *rand.Rand
	price time.Duration
	bytes int64
}

func newReplay(price time.Duration, bytes int64, rates, slots []float64) *replay {
	r := &replay{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), price: price, bytes: bytes}
	for i := range rates {
		s := &site{
			key:  allocator.PoolKey{Service: "guidance", Zone: string(rune('a' + i))},
			rate: rates[i], slots: slots[i], lastNews: make(map[*balancer.Balancer]time.Time), unreachable: make(map[string]bool),
		}
		for range 10 {
			s.entries = append(s.entries, &balancer.Balancer{Zone: s.key.Zone, Price: price, Random: r.rng.Float64})
		}
		r.sites = append(r.sites, s)
	}
	return r
}

// run plays d of load.
func (r *replay) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(replayStep) {
		for _, s := range r.sites {
			s.backlog = max(s.backlog-s.slots*replayStep.Seconds(), 0)
			s.arrivals *= math.Exp(-replayStep.Seconds())
		}
		for _, i := range r.rng.Perm(len(r.sites)) {
			s := r.sites[i]
			for n := s.rate * replayStep.Seconds(); n > 0; n-- {
				if n >= 1 || r.rng.Float64() < n {
					r.call(s, s.entries[r.rng.IntN(len(s.entries))])
				}
			}
		}
	}
}

// resetCounts starts the counts anew.
func (r *replay) resetCounts() {
	for _, s := range r.sites {
		s.calls, s.late, s.first, s.crossed, s.asks, s.failed = 0, 0, 0, 0, 0, 0
	}
}

// wait returns the wait of a new call at s.
func (s *site) wait() time.Duration {
	if s.slots == 0 {
		return time.Hour
	}
	return time.Duration(max(s.backlog-(s.slots-1)*callWork.Seconds(), 0) / s.slots * 1e9)
}

func (s *site) load() allocator.Load {
	l := allocator.Load{Rate: s.arrivals, Work: callWork, Slots: s.slots, Free: int(max(s.slots-s.backlog/callWork.Seconds(), 0))}
	for i := range l.Waits {
		l.Waits[i] = s.wait()
	}
	return l
}

// answer is the reply of s to an ask of an entry; it carries news at most every newsPeriod.
func (r *replay) answer(s *site, b *balancer.Balancer) (wait time.Duration, ok bool) {
	if s.unreachable[b.Zone] {
		r.sites[b.Zone[0]-'a'].failed++
		b.Fail(r.now, s.key)
		return 0, false
	}
	if r.now.Sub(s.lastNews[b]) >= newsPeriod {
		s.lastNews[b] = r.now
		b.Observe(r.now, s.key, s.load())
	}
	return s.wait(), s.wait() <= refusedWait
}

// call plays one call that enters at b in zone from.
func (r *replay) call(from *site, b *balancer.Balancer) {
	from.calls++
	c := balancer.Call{Service: "guidance", Route: "read", Target: r.now.Add(callTarget), Deadline: r.now.Add(4 * callTarget)}
	b.RecordBytes(c.Service, c.Route, r.bytes)
	first, others := r.choose(from, b, c)
	wait, ok := r.answer(first, b)
	first.arrivals++
	best, bestWait := first, wait
	if !ok {
		best, bestWait = nil, time.Hour
	}
	if bestWait > 0 {
		if other, wait := r.askOthers(from, b, c, first, ok, others); wait < bestWait {
			best, bestWait = other, wait
		}
	}
	if bestWait+callWork > callTarget {
		from.late++
	}
	if best == nil {
		return
	}
	best.backlog += callWork.Seconds()
	if best != first {
		best.arrivals++
	}
	if best != from {
		from.crossed++
	}
}

// choose returns the site that a call asks first and the pools that it may ask next.
func (r *replay) choose(from *site, b *balancer.Balancer, c balancer.Call) (first *site, others []allocator.PoolKey) {
	for _, s := range r.sites {
		if s != from && s.slots > 0 {
			others = append(others, s.key)
		}
	}
	if from.slots == 0 { // Evacuated: its pool is not in the table.
		k, _ := b.ChooseOutside(r.now, c, others)
		return r.site(k), slices.DeleteFunc(others, func(o allocator.PoolKey) bool { return o == k })
	}
	if r.price == 0 {
		return from, others
	}
	k, ok := b.Choose(r.now, c, []allocator.PoolKey{from.key}, others)
	if !ok {
		return from, others
	}
	from.first, from.asks = from.first+1, from.asks+1
	others[slices.Index(others, k)] = from.key
	return r.site(k), others
}

// askOthers asks the other pools after first has queued the call or, if ok is false,
// refused it, and returns the site with the shortest wait; it is nil if there is none.
func (r *replay) askOthers(from *site, b *balancer.Balancer, c balancer.Call, first *site, ok bool, others []allocator.PoolKey) (best *site, bestWait time.Duration) {
	if r.price > 0 {
		refusal := allocator.ReasonLate
		if ok {
			refusal = ""
		}
		others, _ = b.Others(r.now, c, []balancer.Asked{{Pool: first.key, At: r.now, Refusal: refusal}}, others)
	}
	bestWait = time.Hour
	for _, k := range others {
		s := r.site(k)
		if s != from {
			from.asks++
		}
		if wait, ok := r.answer(s, b); ok && wait < bestWait {
			best, bestWait = s, wait
		}
	}
	return best, bestWait
}

func (r *replay) site(k allocator.PoolKey) *site {
	return r.sites[slices.IndexFunc(r.sites, func(s *site) bool { return s.key == k })]
}

// share returns the mean share over the entries of zone i that goes to other zones.
func (r *replay) share(i int) float64 {
	sum := 0.0
	for _, b := range r.sites[i].entries {
		for _, st := range b.RouteStatuses(r.now) {
			for _, p := range st.Shares {
				sum += p.Share
			}
		}
	}
	return sum / float64(len(r.sites[i].entries))
}
