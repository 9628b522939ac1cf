package acquirer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/acquirer"
)

// openLoopLoad sends calls from several entries at a given rate, regardless of how many
// are in flight, and measures how long Acquire takes.
type openLoopLoad struct {
	entries  []*acquirer.Client
	meanWork time.Duration
	slow     [20]atomic.Bool // Servers that take 5 times as long, by index.

	mu         sync.Mutex
	waits      []time.Duration
	inUse      map[string]int
	aboveLimit int // Starts and ends of calls with more than 2 calls at their server afterwards.
	calls      sync.WaitGroup
}

// runCall acquires a slot at entry, waits for the service time work and releases it.
func (o *openLoopLoad) runCall(entry *acquirer.Client, work time.Duration) {
	defer o.calls.Done()
	begin := time.Now()
	s, err := entry.Acquire(context.Background(), acquirer.Request{Service: "guidance", Deadline: begin.Add(time.Second)})
	wait := time.Since(begin)
	if err != nil {
		return
	}
	o.addInUse(s, 1, wait)
	if o.slow[s.Server.Addr().As4()[3]].Load() {
		work *= 5
	}
	time.Sleep(work)
	o.addInUse(s, -1, 0)
	s.Release(acquirer.Result{ReportedCalls: -1, Latency: work})
}

// addInUse adds n to the slots of the server of s that are in use, and records wait if
// n is positive.
func (o *openLoopLoad) addInUse(s *acquirer.Slot, n int, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n > 0 {
		o.waits = append(o.waits, wait)
	}
	if o.inUse[s.Server.String()] += n; o.inUse[s.Server.String()] > 2 {
		o.aboveLimit++
	}
}

// sendCalls sends calls for the duration d as a Poisson process with rate calls per
// second and exponential service times, and waits until they have ended.
func (o *openLoopLoad) sendCalls(rate float64, d time.Duration) {
	rng := rand.New(rand.NewPCG(3, 3))
	begin := time.Now()
	for at := time.Duration(0); at < d; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		time.Sleep(time.Until(begin.Add(at)))
		o.calls.Add(1)
		go o.runCall(o.entries[rng.IntN(len(o.entries))], time.Duration(rng.ExpFloat64()*float64(o.meanWork)))
	}
	o.calls.Wait()
}

// BenchmarkKeep compares kept slots with an ask for each call at several loads: 15
// entries with a home over yamux, 20 servers with 2 slots, mean service time 10 ms.
func BenchmarkKeep(b *testing.B) {
	for _, load := range []float64{0.1, 0.3, 0.5, 0.7, 0.8, 0.9} {
		for _, noSlotReuse := range []bool{true, false} {
			b.Run(fmt.Sprintf("load%.0f/fresh=%v", 100*load, noSlotReuse), func(b *testing.B) {
				f := newFleet([]string{"a"}, 16, 20, 2)
				o := &openLoopLoad{meanWork: 10 * time.Millisecond, inUse: make(map[string]int)}
				for i := range 15 {
					entry := &f.instances[i].Client
					r := dialHome(b, f.instances[15])
					entry.Fleet, entry.StreamOpener, entry.NoSlotReuse = r, r, noSlotReuse
					o.entries = append(o.entries, entry)
				}
				for b.Loop() {
					o.sendCalls(load*4000, 2*time.Second)
				}
				slices.Sort(o.waits)
				for _, p := range []int{50, 90, 99} {
					b.ReportMetric(float64(o.waits[len(o.waits)*p/100].Microseconds()), fmt.Sprintf("p%d-us", p))
				}
				b.ReportMetric(float64(o.aboveLimit), "over")
			})
		}
	}
}
