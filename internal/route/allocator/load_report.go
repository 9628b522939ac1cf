package allocator

import (
	"math"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// Load is what the home of a pool reports to entries, which divide their calls
// between zones by it.
type Load struct {
	Rate  float64                         // Calls that arrive per second.
	Work  time.Duration                   // Mean time that a call takes at the usual speed; 0 while unknown.
	Slots float64                         // Slots, each weighted by the inverse of the slowdown of its server.
	Free  int                             // Free slots on servers that are not known to be slow.
	Waits [parser.RankCount]time.Duration // Expected wait of a new request, by rank.
}

const (
	// arrivalPeriod is the time constant of the arrival rate. Bursts last a few
	// seconds.
	arrivalPeriod = time.Second
	// maxLoadAge is the age up to which a computed load is reported again, which
	// limits the processor time under many requests.
	maxLoadAge = 20 * time.Millisecond
	// loadPeriod is the time between two reports of the load of a pool to one entry.
	loadPeriod = 100 * time.Millisecond
	// maxLoadTime limits the times in a load that another instance reports, so that
	// sums of them do not overflow.
	maxLoadTime = time.Hour
)

// loadReporter holds what the load of a pool is computed from.
type loadReporter struct {
	arrivals    float64 // Arrivals, decayed exponentially with arrivalPeriod.
	work        float64 // EWMA of the expected work of the arrivals, in nanoseconds.
	lastArrival time.Time
	last        *Load
	computedAt  time.Time
}

// countArrival counts a request as demand of the pool.
func (p *Pool) countArrival(now time.Time, req SlotRequest) {
	if p.ReportLoad == nil || !p.ReportLoad() {
		return
	}
	l := &p.load
	l.arrivals = l.arrivalsAt(now) + 1
	l.lastArrival = now
	work := float64(p.expectedWork(req))
	if work == 0 {
		return
	}
	if l.work == 0 {
		l.work = work
	}
	l.work += ewmaGain * (work - l.work)
}

// arrivalsAt returns the decayed number of arrivals.
func (l *loadReporter) arrivalsAt(now time.Time) float64 {
	return l.arrivals * math.Exp(-float64(max(now.Sub(l.lastArrival), 0))/float64(arrivalPeriod))
}

// currentLoad returns the load that replies report, or nil when the pool reports none.
func (p *Pool) currentLoad(now time.Time) *Load {
	if p.ReportLoad == nil || !p.ReportLoad() {
		return nil
	}
	l := &p.load
	if age := now.Sub(l.computedAt); l.last != nil && age >= 0 && age <= maxLoadAge {
		return l.last
	}
	load := &Load{Rate: l.arrivalsAt(now) / arrivalPeriod.Seconds(), Work: time.Duration(l.work), Slots: p.effectiveSlots(now)}
	for _, s := range p.servers.Servers() {
		if slowdown, age, ok := s.Slowdown(now); s.InProbeBackoff(now) || ok && age <= maxHighSlowdownAge && slowdown > maxNormalSlowdown {
			continue
		}
		load.Free += p.availableSlots(now, s)
	}
	for r := range load.Waits {
		load.Waits[r] = p.poolWait(now, parser.Rank(r), load)
	}
	l.last, l.computedAt = load, now
	return load
}

// poolWait returns the expected wait of a new request of rank r that is sent to this
// pool alone. slowdownAdjustedWait spreads the queue over the slots of the whole
// service. The estimate is at least the wait of the oldest request, because requests
// also wait for a server of usual speed while slow ones are free.
func (p *Pool) poolWait(now time.Time, r parser.Rank, l *Load) time.Duration {
	wait := time.Duration(float64(p.slowdownAdjustedWait(now, r)) * max(p.slotRatio, 1))
	if front := p.queues[r].requests.Front(); front != nil {
		wait = max(wait, now.Sub(front.Value.(*queuedRequest).queuedAt))
	}
	if l.Free == 0 {
		wait = max(wait, time.Duration(float64(l.Work)/max(l.Slots, 1))) // Time until the next call ends.
	}
	return wait
}

func encodeLoad(l *Load) *messenger.Load {
	if l == nil {
		return nil
	}
	m := &messenger.Load{Rate: float32(l.Rate), Slots: float32(l.Slots), Free: int32(l.Free), Work: int64(l.Work)}
	for _, wait := range l.Waits {
		m.Waits = append(m.Waits, int64(wait))
	}
	return m
}

// DecodeLoad returns the load in m, or nil if m is nil or carries values that are no
// load.
func DecodeLoad(m *messenger.Load) *Load {
	if m == nil {
		return nil
	}
	l := &Load{Rate: float64(m.Rate), Slots: float64(m.Slots), Free: int(m.Free), Work: min(time.Duration(m.Work), maxLoadTime)}
	if !(l.Rate >= 0 && l.Slots >= 0 && l.Free >= 0 && l.Work >= 0) || math.IsInf(l.Rate, 0) || math.IsInf(l.Slots, 0) {
		return nil
	}
	for r := range l.Waits {
		if r < len(m.Waits) {
			l.Waits[r] = min(max(time.Duration(m.Waits[r]), 0), maxLoadTime)
		}
	}
	return l
}

// loadLimiter limits the reports of one entry to one for each pool and loadPeriod.
// It is not safe for concurrent use.
type loadLimiter struct{ sentAt map[PoolKey]time.Time }

// limit returns l, or nil if the load of pool k was sent less than loadPeriod ago.
func (s *loadLimiter) limit(now time.Time, k PoolKey, l *Load) *Load {
	if l == nil || now.Sub(s.sentAt[k]) < loadPeriod {
		return nil
	}
	if s.sentAt == nil {
		s.sentAt = make(map[PoolKey]time.Time)
	}
	s.sentAt[k] = now
	return l
}
