package allocator_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// burstStart is the time from which a burst multiplies the rate of a route.
const burstStart = 3 * time.Second

// routeLoad is the load of one route in a replay. A burst multiplies its rate.
type routeLoad struct {
	callType
	rank        parser.Rank
	rate, burst float64
	burstEnd    time.Duration // A burst starts at burstStart.
	holds       time.Duration // Time for which a call uses its slot beside its work, such as for its body.
}

// replayCount counts the calls of one route by how they ended.
type replayCount struct {
	calls, onTime, late, refused int
	refusedWait                  time.Duration // Total wait before the refusals that were final.
	longestRefusedWait           time.Duration
}

func (c *replayCount) share(n int) float64 { return float64(n) / float64(max(c.calls, 1)) }

func (c *replayCount) String() string {
	return fmt.Sprintf("%5d calls, %.3f on time, %.3f late, %.3f refused after %3d ms (longest %4d)", c.calls, c.share(c.onTime), c.share(c.late), c.share(c.refused),
		(c.refusedWait / time.Duration(max(c.refused, 1))).Milliseconds(), c.longestRefusedWait.Milliseconds())
}

// replay sends calls to the pools of a service in several zones. As in acquirer, a
// call asks the pool of its own zone first and all others once that has queued or
// refused it. A refused caller retries once after the suggested delay if that
// leaves time for its target.
type replay struct {
	*poolSimulation
	pools  []*allocator.Pool
	share  []float64 // Share of the callers by zone.
	counts map[string]*replayCount
	number uint64
}

// replayCall is the owner of the requests of one attempt of a call.
type replayCall struct {
	r           *replay
	load        *routeLoad
	sentAt      time.Time
	attemptAt   time.Time
	number      uint64
	own         int
	open        []bool
	othersAsked bool
	granted     bool
	second      bool
	retryAfter  time.Duration
}

// newReplay returns a replay with servers[i] servers in zone i. Callers are spread
// over the zones by share.
func newReplay(seed uint64, servers []int, slots int, share []float64, counts map[string]*replayCount) *replay {
	r := &replay{poolSimulation: newPoolSimulation(0, slots, 0), share: share, counts: counts}
	r.simulation = newSimulation(0, seed)
	l, next := &reader.List{}, 0
	for zone, n := range servers {
		for range n {
			addr := serverAddr(next)
			next++
			r.slowdown[addr] = 1
			l.Entries = append(l.Entries, reader.Entry{Name: addr.String(), Address: addr, Zone: fmt.Sprint(zone), Service: "s", Slots: slots})
		}
	}
	b := &parser.Bundle{Version: 1, Rules: []parser.Rule{{Bulk: true}}, Services: []parser.Service{{Name: "s", Slots: 1, Probe: parser.Probe{Fresh: parser.Duration(30 * time.Millisecond)}}}}
	for zone := range servers {
		p := &allocator.Pool{Key: allocator.PoolKey{Service: "s", Zone: fmt.Sprint(zone)}, Jitter: func() float64 { return 0.5 + r.rng.Float64() }}
		p.StartProbe = func(s *tracker.Server) {
			addr := s.Address
			r.schedule(probeDuration, func() {
				p.RecordProbe(r.now, addr, tracker.ProbeResult{Result: tracker.Result{ReportedCalls: r.grantedInFlight[addr], Slowdown: r.slowdown[addr]}, Age: probeDuration / 2})
			})
		}
		p.ApplyTable(r.now, router.NewRoutingTable(b, l))
		r.pools = append(r.pools, p)
	}
	r.changeSlowServers()
	r.tickPools()
	return r
}

func (r *replay) tickPools() {
	for _, p := range r.pools {
		p.Tick(r.now)
	}
	r.schedule(5*time.Millisecond, r.tickPools)
}

// send schedules the calls of load for the duration d.
func (r *replay) send(load *routeLoad, d time.Duration) {
	if r.counts[load.route] == nil {
		r.counts[load.route] = &replayCount{}
	}
	for at := time.Duration(0); at < d; {
		rate := load.rate
		if at >= burstStart && at < load.burstEnd {
			rate *= load.burst
		}
		at += time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second))
		own, sum, pick := 0, 0.0, r.rng.Float64()
		for zone, share := range r.share {
			if sum += share; pick < sum {
				own = zone
				break
			}
		}
		r.schedule(at, func() {
			r.counts[load.route].calls++
			(&replayCall{r: r, load: load, sentAt: r.now, own: own}).start()
		})
	}
}

func (c *replayCall) start() {
	c.r.number++
	c.number, c.attemptAt, c.open, c.othersAsked, c.retryAfter = c.r.number, c.r.now, make([]bool, len(c.r.pools)), false, 0
	c.ask(c.own)
}

func (c *replayCall) ask(zone int) {
	c.open[zone] = true
	c.r.pools[zone].RequestSlot(c.r.now, allocator.SlotRequest{
		ID: allocator.ID{Owner: &replayAsk{c, zone, c.number}, Number: c.number}, Rank: c.load.rank, Route: c.load.route,
		Target: c.sentAt.Add(c.load.target), Deadline: c.sentAt.Add(c.load.timeout),
	})
}

// replayAsk is the request of one attempt to one pool.
type replayAsk struct {
	c      *replayCall
	zone   int
	number uint64
}

// ReceiveReply passes the reply on outside the pool, which must not be called back.
func (a *replayAsk) ReceiveReply(reply allocator.Reply) {
	a.c.r.schedule(0, func() { a.c.receive(a, reply) })
}

func (c *replayCall) receive(a *replayAsk, reply allocator.Reply) {
	id := allocator.ID{Owner: a, Number: a.number}
	switch {
	case reply.Kind == allocator.ReplyOffered && (c.granted || a.number != c.number):
		c.r.pools[a.zone].CancelRequest(c.r.now, id)
		return
	case c.granted || a.number != c.number:
		return
	case reply.Kind == allocator.ReplyOffered:
		c.granted = true
		c.run(a, reply)
		return
	case reply.Kind == allocator.ReplyRefused:
		c.open[a.zone] = false
		if c.retryAfter == 0 || reply.RetryAfter < c.retryAfter {
			c.retryAfter = reply.RetryAfter
		}
	}
	if !c.othersAsked {
		c.othersAsked = true
		for zone := range c.r.pools {
			if zone != c.own {
				c.ask(zone)
			}
		}
	}
	if !slices.Contains(c.open, true) {
		c.refused()
	}
}

// refused ends the call, or retries it once.
func (c *replayCall) refused() {
	r, n := c.r, c.r.counts[c.load.route]
	if !c.second && r.now.Add(c.retryAfter).Before(c.sentAt.Add(c.load.timeout-c.load.work)) {
		c.second = true
		r.schedule(c.retryAfter, c.start)
		return
	}
	n.refused++
	n.refusedWait += r.now.Sub(c.attemptAt)
	n.longestRefusedWait = max(n.longestRefusedWait, r.now.Sub(c.attemptAt))
}

// run runs the call at the granted server, whose slowdown may change meanwhile, and
// withdraws its other requests.
func (c *replayCall) run(a *replayAsk, reply allocator.Reply) {
	r, granted := c.r, c.r.now
	for zone := range c.open {
		if zone != a.zone && c.open[zone] {
			other := &replayAsk{c, zone, c.number}
			r.pools[zone].CancelRequest(r.now, allocator.ID{Owner: other, Number: c.number})
		}
	}
	left := float64(c.load.work) * (0.7 + 0.6*r.rng.Float64())
	if r.rng.Float64() < 0.03 {
		left *= 7
	}
	r.grantedInFlight[reply.Server]++
	var step func()
	step = func() {
		slowdown := r.slowdown[reply.Server]
		part := min(left, float64(25*time.Millisecond)/slowdown)
		if left -= part; left > 0 {
			r.schedule(time.Duration(part*slowdown), step)
			return
		}
		r.schedule(time.Duration(part*slowdown), func() {
			r.grantedInFlight[reply.Server]--
			n := r.counts[c.load.route]
			if r.now.Sub(c.sentAt) <= c.load.target {
				n.onTime++
			} else {
				n.late++
			}
			r.pools[a.zone].ReleaseSlot(r.now, allocator.ID{Owner: a, Number: a.number}, tracker.Result{ReportedCalls: -1, Latency: r.now.Sub(granted)})
		})
	}
	r.schedule(c.load.holds, step)
}

const ms = time.Millisecond

// The pools and callers of the deployments, by zone.
var (
	uploadServers = []int{8, 5, 4, 3}
	lookupServers = []int{21, 40, 21, 38}
	scriptServers = []int{26, 20, 14}
	fourZones     = []float64{0.35, 0.26, 0.23, 0.16}
	threeZones    = []float64{0.30, 0.39, 0.31}
)

// uploadLoad is a burst of uploads for 6 s, whose slots are also used while their
// bodies arrive.
func uploadLoad(burst float64) routeLoad {
	return routeLoad{callType: callType{"upload", 260 * ms, 3000 * ms, 4000 * ms}, rank: parser.Normal, rate: 29.3, burst: burst, burstEnd: 9 * time.Second, holds: 180 * ms}
}

func lookupLoad(burst float64, d time.Duration) routeLoad {
	return routeLoad{callType: callType{"lookup", 220 * ms, 500 * ms, 2500 * ms}, rank: parser.Normal, rate: 213, burst: burst, burstEnd: burstStart + d}
}

// scriptLoad is the load of four routes at a multiple of the capacity of 180 slots.
func scriptLoad(of float64) []routeLoad {
	scale := of * 180 * (1 - slowServerShare + slowServerShare/slowServerSlowdown) / 1.18 / 137
	return []routeLoad{
		{callType: callType{"script-fetch", 180 * ms, 500 * ms, 1200 * ms}, rank: parser.Normal, rate: 414 * scale},
		{callType: callType{"revision-approve", 240 * ms, 800 * ms, 1500 * ms}, rank: parser.Urgent, rate: 165 * scale},
		{callType: callType{"archive-export", 140 * ms, 1200 * ms, 3000 * ms}, rank: parser.Normal, rate: 88.9 * scale},
		{callType: callType{"phrase-lookup", 73 * ms, 250 * ms, 1200 * ms}, rank: parser.Urgent, rate: 145 * scale},
	}
}

// replayLoads sends the loads for 10 s and returns the counts by route, summed over
// seeds runs.
func replayLoads(t *testing.T, seeds uint64, servers []int, slots int, share []float64, loads ...routeLoad) map[string]*replayCount {
	total := make(map[string]*replayCount)
	for seed := range seeds {
		r := newReplay(seed+1, servers, slots, share, total)
		for i := range loads {
			r.send(&loads[i], 10*time.Second)
		}
		r.advance(16 * time.Second)
	}
	for _, route := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %v", route, total[route])
	}
	return total
}

// TestUploadBurst guards against refusals of calls with seconds to spare in a burst
// that the servers can serve before their targets. 7 in 100 were refused when a
// request could wait for a quarter of its slack.
func TestUploadBurst(t *testing.T) {
	got := replayLoads(t, 3, uploadServers, 2, fourZones, uploadLoad(2.5))["upload"]
	if got.share(got.refused) > 0.01 {
		t.Errorf("got %.3f of the uploads refused, want at most 0.01", got.share(got.refused))
	}
}

// TestLookupBurst guards against refusals in a burst that needs about half of the
// slots.
func TestLookupBurst(t *testing.T) {
	got := replayLoads(t, 3, lookupServers, 2, fourZones, lookupLoad(1.8, 3500*ms))["lookup"]
	if got.share(got.refused) > 0.01 || got.share(got.onTime) < 0.85 {
		t.Errorf("got %.3f of the lookups refused and %.3f on time, want at most 0.01 and at least 0.85", got.share(got.refused), got.share(got.onTime))
	}
}

// TestUploadsBesideLookups guards against short targets that are missed behind calls
// of the same rank with seconds to spare, and against these getting no slots.
func TestUploadsBesideLookups(t *testing.T) {
	counts := replayLoads(t, 1, lookupServers, 2, fourZones, lookupLoad(2, 6000*ms), uploadLoad(8))
	for route, want := range map[string]float64{"lookup": 0.75, "upload": 0.75} {
		if got := counts[route].share(counts[route].onTime); got < want {
			t.Errorf("%s: got %.3f on time, want %v", route, got, want)
		}
	}
}

// TestFourRoutesOverload guards against a route that gets no slots when routes of
// another service use its servers, and against an urgent route that is served worse
// than a less urgent one.
func TestFourRoutesOverload(t *testing.T) {
	counts := replayLoads(t, 1, scriptServers, 3, threeZones, scriptLoad(1.3)...)
	share := func(route string) float64 { return counts[route].share(counts[route].onTime) }
	for _, urgent := range []string{"revision-approve", "phrase-lookup"} {
		for _, other := range []string{"script-fetch", "archive-export"} {
			if got, want := share(urgent), share(other)-0.05; got < want {
				t.Errorf("got %.3f of %s on time, want %.3f, at most 0.05 less than %s", got, urgent, want, other)
			}
		}
	}
	// The slots serve 0.77 of all work, and over half of the work is of script-fetch.
	if got, want := share("script-fetch"), 0.45; got < want {
		t.Errorf("got %.3f of script-fetch on time, want %v", got, want)
	}
}

// TestRouteFloor guards against a route of long work that gets nothing while shorter
// work of its rank alone exceeds the slots.
func TestRouteFloor(t *testing.T) {
	short := routeLoad{callType: callType{"short", 80 * ms, 300 * ms, 1200 * ms}, rank: parser.Normal, rate: 900}
	long := routeLoad{callType: callType{"long", 250 * ms, 800 * ms, 1500 * ms}, rank: parser.Normal, rate: 15}
	got := replayLoads(t, 1, uploadServers, 2, fourZones, short, long)["long"]
	if got.share(got.onTime) < 0.4 {
		t.Errorf("got %.3f of the long calls on time, want 0.4: they need less than their floor", got.share(got.onTime))
	}
}

// TestStallWithWaitingCalls guards against calls that wait for long and are then
// refused, or that stay queued, after a failure that the measured rate doesn't tell of.
// All servers are slow for a second in a burst, after which the home may drop what it
// has measured.
func TestStallWithWaitingCalls(t *testing.T) {
	for _, reset := range []bool{false, true} {
		r := newReplay(1, uploadServers, 2, fourZones, make(map[string]*replayCount))
		load := uploadLoad(1.5)
		r.send(&load, 10*time.Second)
		r.advance(4 * time.Second)
		for range 40 {
			for addr := range r.slowdown {
				r.slowdown[addr] = slowServerSlowdown
			}
			r.advance(25 * ms)
		}
		for _, p := range r.pools {
			if reset {
				p.ResetStale(r.now)
			}
		}
		r.advance(12 * time.Second)
		if got := r.counts["upload"]; got.share(got.onTime) < 0.9 {
			t.Errorf("reset %v: got %v, want 0.9 on time", reset, got)
		}
		for _, p := range r.pools {
			if n := p.QueuedCount(); n != 0 {
				t.Errorf("reset %v: got %d queued requests at the end, want 0", reset, n)
			}
		}
	}
}

// TestCalmLoad guards against an order of service or refusals that cost anything
// while the servers have free slots.
func TestCalmLoad(t *testing.T) {
	for route, got := range replayLoads(t, 3, scriptServers, 3, threeZones, scriptLoad(0.5)...) {
		if got.refused > 0 || got.share(got.onTime) < 0.88 {
			t.Errorf("%s: got %d refused and %.3f on time, want 0 and at least 0.88", route, got.refused, got.share(got.onTime))
		}
	}
}
