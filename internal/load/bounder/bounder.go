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

	rng       *rand.Rand
	freeSlots []int // Servers with a free slot, once for each.
	busySlots busySlotHeap
}

// Latencies returns waiting time plus service time of each arrival, served in
// order of arrival. A free slot is chosen at random.
func (q *Bounder) Latencies(plan []planner.Arrival) []time.Duration {
	q.rng = rand.New(rand.NewPCG(q.Seed, 77))
	q.freeSlots, q.busySlots = nil, nil
	for i := range q.Servers * q.Slots {
		q.freeSlots = append(q.freeSlots, i%q.Servers)
	}
	latencies := make([]time.Duration, 0, len(plan))
	for i := range plan {
		start := plan[i].At
		q.releaseSlots(start)
		if len(q.freeSlots) == 0 {
			start = q.busySlots[0].freeAt
			q.releaseSlots(start)
		}
		server := q.takeFreeSlot(start)
		end := start + time.Duration(float64(plan[i].Service)*q.slowdownFactor(server, start))
		heap.Push(&q.busySlots, busySlot{freeAt: end, server: server})
		latencies = append(latencies, end-plan[i].At)
	}
	return latencies
}

// releaseSlots moves the slots whose calls end by now to the idle ones.
func (q *Bounder) releaseSlots(now time.Duration) {
	for len(q.busySlots) > 0 && q.busySlots[0].freeAt <= now {
		q.freeSlots = append(q.freeSlots, heap.Pop(&q.busySlots).(busySlot).server)
	}
}

func (q *Bounder) takeFreeSlot(now time.Duration) int {
	q.rng.Shuffle(len(q.freeSlots), func(i, j int) { q.freeSlots[i], q.freeSlots[j] = q.freeSlots[j], q.freeSlots[i] })
	best := 0
	if q.Speed {
		for i, server := range q.freeSlots {
			if q.slowdownFactor(server, now) < q.slowdownFactor(q.freeSlots[best], now) {
				best = i
			}
		}
	}
	server := q.freeSlots[best]
	last := len(q.freeSlots) - 1
	q.freeSlots[best] = q.freeSlots[last]
	q.freeSlots = q.freeSlots[:last]
	return server
}

func (q *Bounder) slowdownFactor(server int, now time.Duration) float64 {
	for i := range q.Slowdowns {
		s := &q.Slowdowns[i]
		if s.Server == server && now >= s.From && now < s.Till {
			return s.Factor
		}
	}
	return 1
}

// busySlot is when a busy slot of server becomes free.
type busySlot struct {
	freeAt time.Duration
	server int
}

// busySlotHeap is a heap with the earliest end first.
type busySlotHeap []busySlot

func (h busySlotHeap) Len() int           { return len(h) }
func (h busySlotHeap) Less(i, j int) bool { return h[i].freeAt < h[j].freeAt }
func (h busySlotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a slotEnd for the package container/heap.
func (h *busySlotHeap) Push(x any) { *h = append(*h, x.(busySlot)) }

// Pop removes the last element for the package container/heap.
func (h *busySlotHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
