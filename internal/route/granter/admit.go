package granter

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// Under a flood, calls that can no longer meet their target keep slots from
// those that can. So an ask is refused as soon as it misses its target while
// others wait, and its caller hears it while it can still come back in time.
// Refusing on arrival, by the expected wait, was worse: the pace of the servers
// changes faster than the estimate.
const (
	// shortest is the share of the expected work below which a call hardly ever
	// ends: work is spread by about a third.
	shortest = 0.5
	// leastPace bounds the weight of a server whose pace is unknown.
	leastPace = 1.0
)

// expectedWait returns the time until the last ask of rank r is served: the asks
// that are served before it, over the rate at which the service ends calls. Asks
// that wait here wait at the homes of its other pools too, so the rate counts
// the slots of the whole service as if they were like those of this pool.
func (p *Pool) expectedWait(now time.Time, r parser.Rank) time.Duration {
	ahead := 0.0
	for rank := parser.Urgent; rank <= r; rank++ {
		q := &p.queues[rank]
		work := q.work
		if work == 0 {
			work = p.hold
		}
		ahead += float64(q.len()) * work
	}
	return time.Duration(ahead / max(p.effective(now)*p.spread, 1))
}

// effective returns the slots of the pool in terms of servers at their usual pace.
func (p *Pool) effective(now time.Time) float64 {
	slots := 0.0
	for _, s := range p.servers.Servers() {
		if s.Capacity(now) == 0 || s.Paused(now) {
			continue
		}
		pace, age, ok := s.Pace(now)
		if !ok || age > slowAge {
			pace = leastPace
		}
		slots += float64(p.most(s)) / max(pace, leastPace)
	}
	return slots
}

// spreadOf returns the slots of a whole service over those of the pool k.
func spreadOf(s *mapper.Service, members []mapper.BackendServer) float64 {
	own, all := 0, 0
	for i := range members {
		if !members[i].Leaving {
			own += max(members[i].Slots, 1)
		}
	}
	for i := range s.Servers {
		if !s.Servers[i].Leaving {
			all += max(s.Servers[i].Slots, 1)
		}
	}
	if own == 0 {
		return 1
	}
	return float64(all) / float64(own)
}

// late reports whether w, which still waits, should be refused: it would end
// after its deadline, or it misses its target while others could meet theirs.
func (p *Pool) late(now time.Time, w *waiting) bool {
	if !p.fresh() {
		return now.Add(p.serviceTime(now)).After(w.Deadline)
	}
	if p.hopeless(now, w.Ask) {
		return true
	}
	return now.Add(p.workOf(w.Ask)).After(w.Target) && p.queues[w.Rank].len() > 1
}

// hopeless reports whether no server can end the call before its deadline.
func (p *Pool) hopeless(now time.Time, a Ask) bool {
	return now.Add(time.Duration(shortest * float64(p.workOf(a)))).After(a.Deadline)
}
