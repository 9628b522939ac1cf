package balancer_test

import (
	"math"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/balancer"
)

const price = 2 * time.Second // Of one MB.

// ratio returns the part n of calls.
func ratio(n, calls int) float64 { return float64(n) / float64(max(calls, 1)) }

// TestEvenZones guards against calls that cross although no zone is short.
func TestEvenZones(t *testing.T) {
	r := newReplay(price, 2000, []float64{250, 250, 250}, []float64{66, 66, 66})
	r.run(20 * time.Second)
	for _, s := range r.sites {
		if s.asks > s.calls/1000 || s.late > 0 {
			t.Errorf("zone %s: got %d asks of other zones and %d late calls of %d, want hardly any", s.key.Zone, s.asks, s.late, s.calls)
		}
	}
}

// TestHalfOfCallersMove guards against calls that miss their target when callers move to
// another zone within a second, and against shares that stay when they move back.
func TestHalfOfCallersMove(t *testing.T) {
	r := newReplay(price, 2000, []float64{250, 250, 250}, []float64{62, 62, 62})
	r.run(10 * time.Second)
	r.sites[0].rate, r.sites[1].rate = 125, 375
	r.resetCounts()
	r.run(20 * time.Second)
	for _, s := range r.sites {
		if got := ratio(s.late, s.calls); got > 0.01 {
			t.Errorf("zone %s: got %.3f of the calls late, want at most 0.01", s.key.Zone, got)
		}
	}
	if got := r.share(1); got < 0.1 || got > 0.35 {
		t.Errorf("share that leaves the loaded zone: got %.2f, want from 0.10 to 0.35", got)
	}
	r.sites[0].rate, r.sites[1].rate = 250, 250
	r.run(10 * time.Second)
	if got := r.share(1); got > 0.02 {
		t.Errorf("share after the callers are back: got %.3f, want at most 0.02", got)
	}
}

// TestShortZone guards against late calls, and against asks of every pool by every call,
// in a zone with a fifth of the servers that its load needs.
func TestShortZone(t *testing.T) {
	asks := make(map[time.Duration]float64)
	for _, p := range []time.Duration{0, price} {
		r := newReplay(p, 2000, []float64{250, 250, 250}, []float64{10, 120, 120})
		r.run(20 * time.Second)
		s := r.sites[0]
		if got := ratio(s.late, s.calls); got > 0.01 {
			t.Errorf("price %v: got %.3f of the calls late, want at most 0.01", p, got)
		}
		asks[p] = ratio(s.asks, s.calls)
	}
	if asks[price] > 0.7*asks[0] {
		t.Errorf("asks of other zones per call: got %.2f, want at most 0.7 of the %.2f without a price", asks[price], asks[0])
	}
}

// TestShareSettles guards against shares that oscillate when all entries of a zone act
// on the same news.
func TestShareSettles(t *testing.T) {
	for _, bytes := range []int64{2000, 60_000} {
		r := newReplay(price, bytes, []float64{1250, 1250, 1250}, []float64{50, 600, 600})
		r.run(10 * time.Second)
		n, sum, squares := 300.0, 0.0, 0.0
		for range int(n) {
			r.run(100 * time.Millisecond)
			share := r.share(0)
			sum, squares = sum+share, squares+share*share
		}
		mean := sum / n
		if deviation := math.Sqrt(squares/n - mean*mean); deviation > 0.05 || mean < 0.7 || mean > 0.9 {
			t.Errorf("%d bytes: got a share of %.2f with deviation %.3f, want 0.7 to 0.9 with at most 0.05", bytes, mean, deviation)
		}
	}
}

// TestOverloadedEverywhere guards against calls that cross to zones which are as
// overloaded as their own.
func TestOverloadedEverywhere(t *testing.T) {
	crossed := make(map[time.Duration]float64)
	for _, p := range []time.Duration{0, price} {
		r := newReplay(p, 60_000, []float64{500, 500, 500}, []float64{80, 80, 80})
		r.run(20 * time.Second)
		for _, s := range r.sites {
			crossed[p] += ratio(s.crossed, s.calls) / 3
		}
	}
	if crossed[price] > 0.25*crossed[0] {
		t.Errorf("calls that crossed: got %.2f, want at most a quarter of the %.2f without a price", crossed[price], crossed[0])
	}
}

// TestEvacuatedZone guards against calls for a zone whose pools have left the table, and
// against calls of its callers that are not served elsewhere.
func TestEvacuatedZone(t *testing.T) {
	r := newReplay(price, 2000, []float64{250, 250, 250}, []float64{200, 10, 120})
	r.run(10 * time.Second)
	r.sites[0].slots, r.sites[1].slots = 0, 120 // Zone b sent most calls to zone a.
	r.resetCounts()
	r.run(500 * time.Millisecond)
	for _, b := range r.sites[1].entries {
		for _, p := range b.RouteStatuses(r.now)[0].Shares {
			if p.Pool.Zone == "a" {
				t.Fatalf("share of the evacuated zone after 0.5 s: got %.2f, want none", p.Share)
			}
		}
	}
	r.run(10 * time.Second)
	for i, s := range r.sites {
		if got := ratio(s.late, s.calls); got > 0.01 {
			t.Errorf("zone %s: got %.3f of the calls late, want at most 0.01", s.key.Zone, got)
		}
		if got := r.share(i); i > 0 && got > 0.02 {
			t.Errorf("share that leaves zone %s: got %.2f, want at most 0.02", s.key.Zone, got)
		}
	}
}

// TestPartition guards against calls that wait for a zone that is out of reach: a and b
// do not reach each other, c reaches both, and a is short.
func TestPartition(t *testing.T) {
	r := newReplay(price, 2000, []float64{250, 250, 250}, []float64{30, 60, 120})
	r.run(10 * time.Second)
	r.sites[0].unreachable["b"], r.sites[1].unreachable["a"] = true, true
	r.resetCounts()
	r.run(10 * time.Second)
	s := r.sites[0]
	if got := ratio(s.late, s.calls); got > 0.01 {
		t.Errorf("got %.3f of the calls late, want at most 0.01", got)
	}
	// Each of the 10 entries may ask b once in a second as an unknown pool.
	if s.failed > 10*11 {
		t.Errorf("got %d asks that failed, want at most 110", s.failed)
	}
	for _, b := range s.entries {
		for _, st := range b.RouteStatuses(r.now) {
			if len(st.Shares) != 1 || st.Shares[0].Pool.Zone != "c" {
				t.Fatalf("shares: got %v, want one of zone c", st.Shares)
			}
		}
	}
}

// TestOneZone guards against any effect in a fleet of one zone.
func TestOneZone(t *testing.T) {
	b := balancer.Balancer{Zone: "a", Price: price}
	now := time.Unix(1000, 0)
	own, sibling := allocator.PoolKey{Service: "guidance", Zone: "a"}, allocator.PoolKey{Service: "guidance", Zone: "a", Shard: 1}
	b.Observe(now, own, overloaded)
	c := balancer.Call{Service: "guidance", Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
	if k, ok := b.Choose(now, c, []allocator.PoolKey{own, sibling}, nil); ok {
		t.Errorf("first pool: got %v, want that of the own zone", k)
	}
	ask, recheck := b.Others(now, c, []balancer.Asked{{Pool: own, At: now}}, []allocator.PoolKey{sibling})
	if len(ask) != 1 || ask[0] != sibling || recheck != 0 {
		t.Errorf("other pools: got %v again after %v, want the other shard and no other time", ask, recheck)
	}
}

var (
	poolA, poolB = allocator.PoolKey{Service: "guidance", Zone: "a"}, allocator.PoolKey{Service: "guidance", Zone: "b"}
	overloaded   = allocator.Load{Rate: 200, Work: 100 * time.Millisecond, Slots: 10, Waits: [3]time.Duration{time.Second, time.Second, time.Second}}
	idle         = allocator.Load{Rate: 1, Work: 100 * time.Millisecond, Slots: 100, Free: 100}
)

// newShared returns a balancer of zone a with a share of zone b, and the call that it
// balances.
func newShared(now time.Time) (*balancer.Balancer, balancer.Call) {
	b := &balancer.Balancer{Zone: "a", Price: price, Random: func() float64 { return 0 }}
	c := balancer.Call{Service: "guidance", Target: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	for at := now.Add(-time.Second); !at.After(now); at = at.Add(100 * time.Millisecond) {
		b.Observe(at, poolA, overloaded)
		b.Observe(at, poolB, idle)
		b.Choose(at, c, []allocator.PoolKey{poolA}, []allocator.PoolKey{poolB})
	}
	return b, c
}

// TestStaleNews guards against shares that outlive the news they are based on.
func TestStaleNews(t *testing.T) {
	start := time.Unix(1000, 0)
	b, c := newShared(start)
	for age, want := range map[time.Duration]bool{time.Second: true, 3 * time.Second: false, 10 * time.Second: false, -time.Minute: false} {
		if _, got := b.Choose(start.Add(age), c, []allocator.PoolKey{poolA}, []allocator.PoolKey{poolB}); got != want {
			t.Errorf("another zone asked first on news of age %v: got %v, want %v", age, got, want)
		}
	}
}

// TestFailureDropsShare guards against calls that are sent to a zone which has just
// become unreachable.
func TestFailureDropsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	b, c := newShared(now)
	b.Fail(now, poolB)
	b.Observe(now, poolA, overloaded)
	if _, ok := b.Choose(now, c, []allocator.PoolKey{poolA}, []allocator.PoolKey{poolB}); ok {
		t.Error("got the failed pool as the first, want the own zone")
	}
}

// TestOthers guards against asks of another zone that cannot win, and against calls that
// miss their target although a slot is free there.
func TestOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	wait := func(d time.Duration, free int) allocator.Load {
		return allocator.Load{Rate: 100, Work: 100 * time.Millisecond, Slots: 10, Free: free, Waits: [3]time.Duration{d, d, d}}
	}
	for name, tt := range map[string]struct {
		here, there allocator.Load
		bytes       int64
		left        time.Duration // To the target.
		waited      time.Duration
		refusal     string
		want        bool
	}{
		"the wait is shorter there":        {here: wait(50*time.Millisecond, 0), there: wait(0, 5), left: time.Second, want: true},
		"the wait is as long there":        {here: wait(50*time.Millisecond, 0), there: wait(50*time.Millisecond, 0), left: time.Second},
		"the bytes weigh more":             {here: wait(50*time.Millisecond, 0), there: wait(0, 5), bytes: 60_000, left: time.Second},
		"has waited for the price":         {here: wait(50*time.Millisecond, 0), there: wait(0, 5), bytes: 60_000, left: time.Second, waited: 150 * time.Millisecond, want: true},
		"would miss its target":            {here: wait(50*time.Millisecond, 0), there: wait(0, 5), bytes: 60_000, left: 120 * time.Millisecond, want: true},
		"would miss its target there, too": {here: wait(50*time.Millisecond, 0), there: wait(50*time.Millisecond, 0), left: 120 * time.Millisecond},
		"refused, a slot is free there":    {here: wait(50*time.Millisecond, 0), there: wait(0, 5), bytes: 60_000, left: time.Second, refusal: allocator.ReasonLate, want: true},
		"refused, as loaded there":         {here: wait(50*time.Millisecond, 0), there: wait(50*time.Millisecond, 0), left: time.Second, refusal: allocator.ReasonLate},
		"no server here":                   {here: wait(0, 0), there: wait(50*time.Millisecond, 0), left: time.Second, refusal: allocator.ReasonNone, want: true},
	} {
		b := balancer.Balancer{Zone: "a", Price: price}
		c := balancer.Call{Service: "guidance", Target: now.Add(tt.left), Deadline: now.Add(2 * tt.left)}
		b.Observe(now, poolA, tt.here)
		b.Observe(now, poolB, tt.there)
		b.RecordBytes("guidance", "", tt.bytes)
		asked := []balancer.Asked{{Pool: poolA, At: now.Add(-tt.waited), Refusal: tt.refusal}}
		ask, recheck := b.Others(now, c, asked, []allocator.PoolKey{poolB})
		if got := len(ask) == 1; got != tt.want {
			t.Errorf("%s: got asked %v, want %v", name, got, tt.want)
		}
		if want := !tt.want && tt.refusal == ""; recheck > 0 != want {
			t.Errorf("%s: got decided again after %v, want again %v", name, recheck, want)
		}
	}
}

// TestUnknownPools guards against less than the asks of all pools while homes report
// nothing, and against more than one ask per second to find out about a pool.
func TestUnknownPools(t *testing.T) {
	now := time.Unix(1000, 0)
	b := balancer.Balancer{Zone: "a", Price: price}
	c := balancer.Call{Service: "guidance", Target: now.Add(time.Second), Deadline: now.Add(time.Second)}
	asked, others := []balancer.Asked{{Pool: poolA, At: now}}, []allocator.PoolKey{poolB}
	if ask, _ := b.Others(now, c, asked, others); len(ask) != 1 {
		t.Errorf("without any news: got %v, want all pools", ask)
	}
	b.Observe(now, poolA, allocator.Load{Rate: 100, Work: 100 * time.Millisecond, Slots: 10, Waits: [3]time.Duration{time.Second / 10, time.Second / 10, time.Second / 10}})
	for i, want := range []int{1, 0} {
		if ask, _ := b.Others(now, c, asked, others); len(ask) != want {
			t.Errorf("call %d: got %d unknown pools asked, want %d", i, len(ask), want)
		}
	}
}
