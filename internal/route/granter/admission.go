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
	// minWorkShare is the share of the expected work below which a call hardly ever
	// ends: work is spread by about a third.
	minWorkShare = 0.5
	// assumedWorkShare is the share of its target that a call is assumed to work while
	// none of its kind has ended: targets are set to a small multiple of the work.
	assumedWorkShare = 1.0 / 3
	// maxCutWorkFactor is the multiple of the expected work up to which a call that ended
	// by its deadline says nothing about its server.
	maxCutWorkFactor = 2
	// maxWaitShare is the share of the time to spare before its target for which
	// an ask waits beside others: under overload the newest are served first, so
	// few are served after that, and their callers should hear it early.
	maxWaitShare = 0.25
	// missedTargetMaxWait is the wait of an ask that misses its target in any case:
	// about that for the next free slot of a pool that is not overloaded.
	missedTargetMaxWait = 50 * time.Millisecond
	// minPace bounds the weight of a server whose pace is unknown.
	minPace = 1.0
)

// paceAdjustedWait returns the time until the last ask of rank r is served: the asks
// that are served before it, over the rate at which the service ends calls. Asks
// that wait here wait at the homes of its other pools too, so the rate counts
// the slots of the whole service as if they were like those of this pool.
func (p *Pool) paceAdjustedWait(now time.Time, r parser.Rank) time.Duration {
	ahead := 0.0
	for rank := parser.Urgent; rank <= r; rank++ {
		q := &p.queues[rank]
		work := q.meanWork
		if work == 0 {
			work = p.meanHoldTime
		}
		ahead += float64(q.len()) * work
	}
	return time.Duration(ahead / max(p.effectiveSlots(now)*p.slotRatio, 1))
}

// effectiveSlots returns the slots of the pool in terms of servers at their usual pace.
func (p *Pool) effectiveSlots(now time.Time) float64 {
	slots := 0.0
	for _, s := range p.servers.Servers() {
		if s.Capacity(now) == 0 || s.Paused(now) {
			continue
		}
		pace, age, ok := s.Pace(now)
		if !ok || age > maxSlowPaceAge {
			pace = minPace
		}
		slots += float64(p.grantableSlots(now, s)) / max(pace, minPace)
	}
	return slots
}

// serviceSlotRatio returns the slots of a whole service over those of the pool k.
func serviceSlotRatio(s *mapper.Service, members []mapper.BackendServer) float64 {
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

// shouldRefuse reports whether w, which still waits, should be refused: it would end
// after its deadline, or it misses its target while others could meet theirs.
func (p *Pool) shouldRefuse(now time.Time, w *queuedRequest) bool {
	if !p.usesFreshReports() {
		return now.Add(p.medianLatency(now)).After(w.Deadline)
	}
	if p.missesDeadline(now, w.Ask) {
		return true
	}
	if p.queues[w.Rank].len() < 2 {
		return false
	}
	return now.Sub(w.queuedAt) > p.maxWait(w)
}

// missesDeadline reports whether no server can end the call before its deadline.
func (p *Pool) missesDeadline(now time.Time, a Ask) bool {
	return now.Add(time.Duration(minWorkShare * float64(p.expectedWork(a)))).After(a.Deadline)
}

// maxWait returns how long w may wait beside others: a share of the time that
// it has to spare before its target, so that a caller that is refused can still
// come back in time.
func (p *Pool) maxWait(w *queuedRequest) time.Duration {
	spare := w.Target.Sub(w.queuedAt) - p.expectedWork(w.Ask)
	if spare <= 0 {
		return missedTargetMaxWait
	}
	return time.Duration(maxWaitShare * float64(spare))
}
