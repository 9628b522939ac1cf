package granter

import (
	"container/list"
	"time"
)

// waiting is an ask in a queue.
type waiting struct {
	Ask
	since  time.Time
	told   bool // The owner knows that the ask waits.
	missed bool // It can no longer meet its target.
	class  int  // Class of its work.
}

// queue holds the asks of one rank in order of arrival.
type queue struct {
	asks    list.List
	credit  float64 // Slot time that the floor of the rank has earned, in nanoseconds.
	hold    float64 // EWMA of the time that a call of the rank uses a slot, in nanoseconds; 0 before any ended.
	work    float64 // EWMA of that time at the usual pace of the servers; 0 before any ended.
	granted uint64
	refused map[string]uint64
}

// held takes in the time for which a call of the rank used its slot.
func (q *queue) held(time float64) {
	if q.hold == 0 {
		q.hold = time
	}
	q.hold += holdGain * (time - q.hold)
}

// worked takes in the time of a call at the usual pace of its server.
func (q *queue) worked(time float64) {
	if q.work == 0 {
		q.work = time
	}
	q.work += holdGain * (time - q.work)
}

func (q *queue) len() int { return q.asks.Len() }

// standing is the wait of the oldest ask above which the newest is served
// first. Arrivals beyond capacity for longer than this would otherwise be
// served just before their deadlines, when most callers have given up.
const standing = 100 * time.Millisecond

// overloaded reports whether the oldest ask has waited for longer than
// standing, or for half of the time that its caller gave it.
func (q *queue) overloaded(now time.Time) bool {
	front := q.asks.Front()
	if front == nil {
		return false
	}
	w := front.Value.(*waiting)
	limit := min(standing, w.Deadline.Sub(w.since)/2)
	return now.Sub(w.since) > limit
}

func (q *queue) refuse(reason string) {
	if q.refused == nil {
		q.refused = make(map[string]uint64)
	}
	q.refused[reason]++
}
