package granter

import (
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// Under a flood, calls that can no longer meet their target keep slots from
// those that can. So an ask is refused while others wait as soon as it is
// unlikely to meet its target, and its caller hears it while it can still come
// back in time. An estimate of the wait on arrival does not serve for that: the
// pace of the servers changes faster.
const (
	// shortest is the share of the expected work below which a call hardly ever
	// ends: work is spread by about a third.
	shortest = 0.5
	// guessShare is the share of its target that a call is assumed to work while
	// none of its kind has ended: targets are set to a small multiple of the work.
	guessShare = 1.0 / 3
	// hurry is the multiple of the expected work up to which a call that ended
	// by its deadline says nothing about its server.
	hurry = 2
	// patienceShare is the share of the time to spare before its target for which
	// an ask waits beside others: under overload the newest are served first, so
	// few are served after that, and their callers should hear it early.
	patienceShare = 0.25
	// latePatience is the wait of an ask that misses its target in any case:
	// about that for the next free slot of a pool that is not overloaded.
	latePatience = 50 * time.Millisecond
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
		slots += float64(p.most(now, s)) / max(pace, leastPace)
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
	if p.queues[w.Rank].len() < 2 {
		return false
	}
	return now.Sub(w.since) > p.patience(w)
}

// hopeless reports whether no server can end the call before its deadline.
func (p *Pool) hopeless(now time.Time, a Ask) bool {
	return now.Add(time.Duration(shortest * float64(p.workOf(a)))).After(a.Deadline)
}

// patience returns how long w may wait beside others: a share of the time that
// it has to spare before its target, so that a caller that is refused can still
// come back in time.
func (p *Pool) patience(w *waiting) time.Duration {
	spare := w.Target.Sub(w.since) - p.workOf(w.Ask)
	if spare <= 0 {
		return latePatience
	}
	return time.Duration(patienceShare * float64(spare))
}
