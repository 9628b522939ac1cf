package allocator

import (
	"container/list"
	"time"
)

// queuedRequest is a slot request in a queue.
type queuedRequest struct {
	SlotRequest
	queuedAt  time.Time
	route     *routeQueue   // Queue of its route and rank.
	notified  bool          // The owner was told that the request waits.
	predicted time.Duration // Wait that was predicted on arrival; only set for the Observer.

	// Set by serviceOrder.
	latestStart  time.Time // Time by which the call has to start to meet its target.
	missesTarget bool      // That time has passed.
	orderTime    time.Time // Requests that are not overloaded are served in the order of this time.
}

// queue holds the requests of one rank in order of arrival.
type queue struct {
	requests     list.List
	credit       float64                // Slot time that the rank may use under its floor, in nanoseconds.
	meanHoldTime float64                // EWMA of the hold time of the calls of the rank, in nanoseconds; 0 before any call has ended.
	meanWork     float64                // EWMA of the work of the calls, their hold time at the usual server speed, in nanoseconds; 0 before any call has ended.
	granted      uint64                 // Number of granted slots and of calls on kept slots.
	refused      map[string]uint64      // Number of refusals by reason.
	routes       map[string]*routeQueue // By route.
}

// recordHoldTime records how long a call of the rank used its slot.
func (q *queue) recordHoldTime(held float64) {
	if q.meanHoldTime == 0 {
		q.meanHoldTime = held
	}
	q.meanHoldTime += ewmaGain * (held - q.meanHoldTime)
}

// recordWork records the work of a call of the rank.
func (q *queue) recordWork(work float64) {
	if q.meanWork == 0 {
		q.meanWork = work
	}
	q.meanWork += ewmaGain * (work - q.meanWork)
}

func (q *queue) len() int { return q.requests.Len() }

// maxStandingWait is the wait of the oldest request above which the newest is
// served first. While more calls arrive than can be served for longer than
// this, serving the oldest first would serve each call just before its
// deadline, when most callers have given up.
const maxStandingWait = 100 * time.Millisecond

// overloaded reports whether the oldest request has waited for longer than
// maxStandingWait, or for longer than half of the time to its deadline.
func (q *queue) overloaded(now time.Time) bool {
	front := q.requests.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*queuedRequest)
	limit := min(maxStandingWait, oldest.Deadline.Sub(oldest.queuedAt)/2)
	return now.Sub(oldest.queuedAt) > limit
}

func (q *queue) countRefusal(reason string) {
	if q.refused == nil {
		q.refused = make(map[string]uint64)
	}
	q.refused[reason]++
}
