package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/picker"
)

const (
	entryCount     = 16
	serverCount    = 20
	slotsPerServer = 2
	meanWork       = 10 * time.Millisecond
	loadDuration   = 10 * time.Second
	// capacity is the number of calls per second that all slots together can
	// serve.
	capacity = float64(serverCount*slotsPerServer) * float64(time.Second/meanWork)
)

func deadlineAfter(d time.Duration) time.Time { return time.Time{}.Add(d) }

// assignPerEntry assigns calls to servers chosen by entries that each know only
// their own calls. Servers queue calls beyond their slots.
func assignPerEntry(s *simulation, policies []picker.Policy[int]) {
	type server struct {
		busy  int
		queue []func()
	}
	all := make([]server, serverCount)
	counts := make([][]picker.Candidate[int], entryCount)
	for e := range counts {
		counts[e] = make([]picker.Candidate[int], serverCount)
	}
	next := 0
	s.assign = func(c *simulatedCall) {
		next++
		own := counts[next%entryCount]
		i := policies[next%len(policies)].Pick(own)
		own[i].InFlight++
		b := &all[i]
		begin := func() {
			b.busy++
			s.startCall(c, i, func() {
				b.busy--
				own[i].InFlight--
				if len(b.queue) > 0 {
					first := b.queue[0]
					b.queue = b.queue[1:]
					first()
				}
			})
		}
		if b.busy < slotsPerServer {
			begin()
		} else {
			b.queue = append(b.queue, begin)
		}
	}
}

// assignFromCentralQueue assigns calls from one queue to servers as soon as
// they have a free slot.
func assignFromCentralQueue(s *simulation) {
	busy := make([]int, serverCount)
	var waiting []*simulatedCall
	var serve func()
	serve = func() {
		for len(waiting) > 0 {
			var free []picker.Candidate[int]
			for i := range busy {
				if busy[i] < slotsPerServer {
					free = append(free, picker.Candidate[int]{Value: i})
				}
			}
			if len(free) == 0 {
				return
			}
			i := free[picker.Random[int]{Rand: s.rng}.Pick(free)].Value
			c := waiting[0]
			waiting = waiting[1:]
			busy[i]++
			s.startCall(c, i, func() { busy[i]--; serve() })
		}
	}
	s.assign = func(c *simulatedCall) { waiting = append(waiting, c); serve() }
}

// TestDispatchAgainstBaselines guards against a choice of servers that is worse
// than the baseline policies, which know only the calls of one entry, or much
// worse than one central queue.
func TestDispatchAgainstBaselines(t *testing.T) {
	policies := func(pick func(*rand.Rand) picker.Policy[int]) func(*simulation) {
		return func(s *simulation) {
			all := make([]picker.Policy[int], entryCount)
			for i := range all {
				all[i] = pick(s.rng)
			}
			assignPerEntry(s, all)
		}
	}
	var table strings.Builder
	p99 := make(map[string]time.Duration)
	for _, tc := range []struct {
		name string
		make func(*simulation)
	}{
		{"random", policies(func(r *rand.Rand) picker.Policy[int] { return picker.Random[int]{Rand: r} })},
		{"round robin", policies(func(*rand.Rand) picker.Policy[int] { return new(picker.RoundRobin[int]) })},
		{"least outstanding", policies(func(r *rand.Rand) picker.Policy[int] { return picker.LeastOutstanding[int]{Rand: r} })},
		{"central queue", assignFromCentralQueue},
		{"dispatch", func(s *simulation) { newPoolDriver(s, parser.Service{Slots: slotsPerServer}) }},
	} {
		s := newSimulation(serverCount, 7)
		s.scheduleSlowdowns(loadDuration)
		s.scheduleArrivals(simulatedCall{work: meanWork, deadline: deadlineAfter(10 * time.Second)}, 0.8*capacity, 0, loadDuration)
		tc.make(s)
		s.run(loadDuration + 10*time.Second)
		wait := percentile(s.calls, parser.Urgent, 99, (*simulatedCall).wait)
		p99[tc.name] = wait
		total := percentile(s.calls, parser.Urgent, 99, func(c *simulatedCall) time.Duration { return c.ended.Sub(c.arrivedAt) })
		fmt.Fprintf(&table, "%-18s p99 wait %8.2f ms, p99 total %8.2f ms, served %d of %d\n", tc.name,
			wait.Seconds()*1e3, total.Seconds()*1e3, countServed(s.calls, parser.Urgent), len(s.calls))
	}
	t.Logf("20 servers with 2 slots, 80%% load, servers slowed 5 times at random:\n%s", table.String())
	best := min(p99["random"], p99["round robin"], p99["least outstanding"])
	if got := p99["dispatch"]; 2*got > best {
		t.Errorf("p99 of wait: got %v, want under half of the best baseline, %v", got, best)
	}
	if got := p99["dispatch"]; 2*got > 3*p99["central queue"] {
		t.Errorf("p99 of wait: got %v, want within 1.5 times one central queue, %v", got, p99["central queue"])
	}
}
