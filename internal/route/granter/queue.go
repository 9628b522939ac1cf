package granter

import (
	"container/list"
	"time"
)

// queuedRequest is an ask in a queue.
type queuedRequest struct {
	Ask
	queuedAt     time.Time
	notified     bool // The owner knows that the ask waits.
	missesTarget bool // It can no longer meet its target.
	workClass    int  // Class of its work.
}

// queue holds the asks of one rank in order of arrival.
type queue struct {
	requests     list.List
	credit       float64 // Slot time that the floor of the rank has earned, in nanoseconds.
	meanHoldTime float64 // EWMA of the time that a call of the rank uses a slot, in nanoseconds; 0 before any ended.
	meanWork     float64 // EWMA of that time at the usual pace of the servers; 0 before any ended.
	granted      uint64
	refused      map[string]uint64
}

// recordHoldTime takes in the time for which a call of the rank used its slot.
func (q *queue) recordHoldTime(time float64) {
	if q.meanHoldTime == 0 {
		q.meanHoldTime = time
	}
	q.meanHoldTime += ewmaGain * (time - q.meanHoldTime)
}

// recordWork takes in the time of a call at the usual pace of its server.
func (q *queue) recordWork(time float64) {
	if q.meanWork == 0 {
		q.meanWork = time
	}
	q.meanWork += ewmaGain * (time - q.meanWork)
}

func (q *queue) len() int { return q.requests.Len() }

// maxStandingWait is the wait of the oldest ask above which the newest is served
// first. Arrivals beyond capacity for longer than this would otherwise be
// served just before their deadlines, when most callers have given up.
const maxStandingWait = 100 * time.Millisecond

// overloaded reports whether the oldest ask has waited for longer than
// standing, or for half of the time that its caller gave it.
func (q *queue) overloaded(now time.Time) bool {
	front := q.requests.Front()
	if front == nil {
		return false
	}
	w := front.Value.(*queuedRequest)
	limit := min(maxStandingWait, w.Deadline.Sub(w.queuedAt)/2)
	return now.Sub(w.queuedAt) > limit
}

func (q *queue) countRefusal(reason string) {
	if q.refused == nil {
		q.refused = make(map[string]uint64)
	}
	q.refused[reason]++
}
