package bounder

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// Bounder simulates Servers with Slots each; fields are set before Latencies.
type Bounder struct {
	Servers, Slots int
	Slowdowns      []planner.Slowdown
	Speed          bool // Speed makes the queue also prefer servers that are not slow.
	Seed           uint64

	rng  *rand.Rand
	idle []int // Servers with a free slot, once for each.
	busy ends
}

// Latencies returns waiting time plus service time of each arrival, served in
// order of arrival. A free slot is chosen at random.
func (b *Bounder) Latencies(plan []planner.Arrival) []time.Duration {
	b.rng = rand.New(rand.NewPCG(b.Seed, 77))
	b.idle, b.busy = nil, nil
	for i := range b.Servers * b.Slots {
		b.idle = append(b.idle, i%b.Servers)
	}
	out := make([]time.Duration, 0, len(plan))
	for i := range plan {
		start := plan[i].At
		b.free(start)
		if len(b.idle) == 0 {
			start = b.busy[0].at
			b.free(start)
		}
		server := b.choose(start)
		end := start + time.Duration(float64(plan[i].Service)*b.factor(server, start))
		heap.Push(&b.busy, slotEnd{at: end, server: server})
		out = append(out, end-plan[i].At)
	}
	return out
}

// free moves the slots whose calls end by now to the idle ones.
func (b *Bounder) free(now time.Duration) {
	for len(b.busy) > 0 && b.busy[0].at <= now {
		b.idle = append(b.idle, heap.Pop(&b.busy).(slotEnd).server)
	}
}

func (b *Bounder) choose(now time.Duration) int {
	b.rng.Shuffle(len(b.idle), func(i, j int) { b.idle[i], b.idle[j] = b.idle[j], b.idle[i] })
	best := 0
	if b.Speed {
		for i, server := range b.idle {
			if b.factor(server, now) < b.factor(b.idle[best], now) {
				best = i
			}
		}
	}
	server := b.idle[best]
	last := len(b.idle) - 1
	b.idle[best] = b.idle[last]
	b.idle = b.idle[:last]
	return server
}

func (b *Bounder) factor(server int, now time.Duration) float64 {
	for i := range b.Slowdowns {
		s := &b.Slowdowns[i]
		if s.Server == server && now >= s.From && now < s.Till {
			return s.Factor
		}
	}
	return 1
}

// slotEnd is when a busy slot of server becomes free.
type slotEnd struct {
	at     time.Duration
	server int
}

// ends is a heap with the earliest end first.
type ends []slotEnd

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push adds a slotEnd for the package container/heap.
func (e *ends) Push(x any) { *e = append(*e, x.(slotEnd)) }

// Pop removes the last element for the package container/heap.
func (e *ends) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
