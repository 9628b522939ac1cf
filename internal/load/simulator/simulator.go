package simulator

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// CentralQueue simulates one queue in front of backend servers with several slots
// each. The exported fields are set before Latencies.
type CentralQueue struct {
	Servers, SlotsPerServer int                // Number of servers, and of slots on each.
	Slowdowns               []planner.Slowdown // Times in which a server is slow.
	PreferFastServers       bool               // Makes the queue choose a free slot of a fastest server.
	Seed                    uint64             // Seed of the random choice among free slots.

	rng       *rand.Rand
	freeSlots []int // The server of each free slot.
	busySlots busySlotHeap
}

// Latencies returns the waiting time plus service time of each arrival of plan,
// which is sorted by time. Calls are served in order of arrival, each in a free
// slot chosen at random.
func (q *CentralQueue) Latencies(plan []planner.Arrival) []time.Duration {
	// 77 keeps this generator apart from those of package planner, which are
	// derived from the same seed.
	q.rng = rand.New(rand.NewPCG(q.Seed, 77))
	q.freeSlots, q.busySlots = nil, nil
	for i := range q.Servers * q.SlotsPerServer {
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
		end := start + time.Duration(float64(plan[i].ServiceTime)*q.slowdownFactor(server, start))
		heap.Push(&q.busySlots, busySlot{freeAt: end, server: server})
		latencies = append(latencies, end-plan[i].At)
	}
	return latencies
}

// releaseSlots moves the slots whose calls have ended by now to the free slots.
func (q *CentralQueue) releaseSlots(now time.Duration) {
	for len(q.busySlots) > 0 && q.busySlots[0].freeAt <= now {
		q.freeSlots = append(q.freeSlots, heap.Pop(&q.busySlots).(busySlot).server)
	}
}

// takeFreeSlot removes a random free slot and returns its server. With
// PreferFastServers it chooses among those with the lowest slowdown factor.
func (q *CentralQueue) takeFreeSlot(now time.Duration) int {
	q.rng.Shuffle(len(q.freeSlots), func(i, j int) { q.freeSlots[i], q.freeSlots[j] = q.freeSlots[j], q.freeSlots[i] })
	best := 0
	if q.PreferFastServers {
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

// slowdownFactor returns the factor by which a call that starts on server at now
// takes longer than planned.
func (q *CentralQueue) slowdownFactor(server int, now time.Duration) float64 {
	for i := range q.Slowdowns {
		s := &q.Slowdowns[i]
		if s.Server == server && now >= s.From && now < s.Till {
			return s.Factor
		}
	}
	return 1
}

// busySlot is a slot of server that runs a call.
type busySlot struct {
	freeAt time.Duration // When the call ends.
	server int
}

// busySlotHeap is a min-heap by freeAt for the package container/heap.
type busySlotHeap []busySlot

func (h busySlotHeap) Len() int           { return len(h) }
func (h busySlotHeap) Less(i, j int) bool { return h[i].freeAt < h[j].freeAt }
func (h busySlotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends a busySlot; it is called by heap.Push only.
func (h *busySlotHeap) Push(x any) { *h = append(*h, x.(busySlot)) }

// Pop removes the last element; it is called by heap.Pop only.
func (h *busySlotHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
