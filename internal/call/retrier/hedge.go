package retrier

import (
	"slices"
	"sync"
	"time"
)

// HedgeEvent is something that happened to the hedge of a call.
type HedgeEvent string

// The events of a hedge. A hedge that was denied or not funded was not sent.
const (
	HedgeSent     HedgeEvent = "sent"
	HedgeWon      HedgeEvent = "won"    // The hedge answered before the first attempt.
	HedgeDenied   HedgeEvent = "denied" // No slot was free.
	HedgeUnfunded HedgeEvent = "unfunded"
)

const (
	// workSamples is the number of calls of a route whose work is remembered. A
	// route gets a few calls per second at an instance, so these are the calls of
	// about the last minute.
	workSamples = 128
	// minWorkSamples is the number of calls from which the work of a route is known. If
	// work varies by a third, their median is within a fifth of that of the route in 9 of
	// 10 cases. A route with one call per second at a new instance gets there in seconds.
	minWorkSamples = 8
	// sortPeriod is the number of calls after which the quantiles are computed again.
	sortPeriod = 8
	// An attempt is hedged when it has taken hedgeFactor times the median of its
	// route, or its hedgeQuantile if that is later. Work varies by about a third, so
	// 1.4 times the median is exceeded by one in ten ordinary calls. The median is not
	// affected by the calls that take several times as long, and the quantile limits
	// the hedges of a route whose work varies more.
	hedgeFactor   = 1.4
	hedgeQuantile = 0.8
	// finishFactor is the multiple of the median that must be left between the start of a
	// hedge and the target. About a third of the hedges need less.
	finishFactor = 0.9
	// earliestFactor is the multiple of the median before which no attempt is hedged to
	// leave that much time. Most ordinary calls have been answered by then.
	earliestFactor = 1.1
	// slowWaitFactor is the multiple of the median after which an attempt is hedged
	// that is expected to miss its target because its server is slow. By then, the
	// report by which it was expected may have been contradicted by an answer.
	slowWaitFactor = 0.5
	// shortestHedgeDelay keeps most calls of a very fast route from being hedged
	// whenever the instance itself is slow for a moment.
	shortestHedgeDelay = 5 * time.Millisecond

	// A call without an answer counts as silent after silentFactor times the median of
	// its route. Ordinary calls take less, and those that take several times their work
	// are few and only have their slot counted as held until the next load report.
	silentFactor = 2
	// A silent call is retried after retryFactor times the median, when even the calls
	// that take several times their work have mostly ended, or when the time left to
	// the deadline is retryReserve times the median, if it has been silent for
	// lateFactor times the median by then.
	retryFactor  = 8
	lateFactor   = 3
	retryReserve = 2
)

// RouteWork holds the work of the recent calls of one route: their duration at a
// backend server, divided by the slowdown that the server had reported. The zero
// value is ready to use; it is not safe for concurrent use.
type RouteWork struct {
	WorkTimes
	samples  [workSamples]time.Duration
	recorded int // Number of calls recorded.
}

// WorkTimes summarizes the work of a route and decides by it. The zero value stands for a
// route of which too few calls are known.
type WorkTimes struct {
	median   time.Duration
	quantile time.Duration // hedgeQuantile of the calls.
}

// Record adds a call that took elapsed on a server with the reported slowdown. A call
// that was cancelled after elapsed is recorded too, because the work of those that
// remain would otherwise appear to be less than it is.
func (w *RouteWork) Record(elapsed time.Duration, slowdown float64) {
	w.samples[w.recorded%workSamples] = time.Duration(float64(elapsed) / max(slowdown, 1))
	w.recorded++
	if w.recorded < minWorkSamples || w.recorded%sortPeriod != 0 && w.recorded != minWorkSamples {
		return
	}
	sorted := slices.Clone(w.samples[:min(w.recorded, workSamples)])
	slices.Sort(sorted)
	w.median, w.quantile = sorted[len(sorted)/2], sorted[int(hedgeQuantile*float64(len(sorted)))]
}

// SentAttempt is an attempt that was sent to a backend server.
type SentAttempt struct {
	SentAt   time.Time
	Target   time.Time // Time by which the caller prefers a response.
	Slowdown float64   // Reported slowdown of the backend server; 0 when unknown.
}

// HedgeTime returns the time at which a is hedged if it has not answered. It returns
// false when a hedge is unlikely to answer before the target, or the work of the route
// is unknown.
func (w WorkTimes) HedgeTime(a SentAttempt) (time.Time, bool) {
	slowdown := max(a.Slowdown, 1)
	if w.median == 0 || a.Target.IsZero() {
		return time.Time{}, false
	}
	latest := a.Target.Add(-time.Duration(finishFactor * float64(w.median)))
	wait, shortest := scale(max(scale(w.median, hedgeFactor), w.quantile), slowdown), scale(w.median, earliestFactor*slowdown)
	if a.SentAt.Add(scale(w.median, slowdown)).After(a.Target) {
		wait = scale(w.median, slowWaitFactor)
		shortest = wait
	}
	if at := a.SentAt.Add(max(wait, shortestHedgeDelay)); !at.After(latest) {
		return at, true
	}
	return latest, !latest.Before(a.SentAt.Add(shortest))
}

// SilentAfter returns the time after which a call to a server with the given reported
// slowdown counts as silent, or 0 if the work of the route is unknown.
func (w WorkTimes) SilentAfter(slowdown float64) time.Duration {
	return scale(w.median, silentFactor*max(slowdown, 1))
}

// RetryTime returns the time at which a is given up as silent, so that a retry can still
// be answered before deadline. It returns false when the work of the route is unknown or
// no such time is left.
func (w WorkTimes) RetryTime(a SentAttempt, deadline time.Time) (time.Time, bool) {
	if w.median == 0 {
		return time.Time{}, false
	}
	usual := scale(w.median, max(a.Slowdown, 1))
	at, latest := a.SentAt.Add(scale(usual, retryFactor)), deadline.Add(-scale(w.median, retryReserve))
	if latest.Before(at) {
		at = latest
	}
	return at, !at.Before(a.SentAt.Add(max(scale(usual, lateFactor), shortestHedgeDelay)))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// routeWorks holds the work of the routes of a service.
type routeWorks struct {
	mu     sync.Mutex
	routes map[string]*RouteWork
}

// maxRoutes limits the number of routes whose work is remembered. All are dropped when
// it is reached; configurations have fewer.
const maxRoutes = 1024

func (w *routeWorks) record(route string, elapsed time.Duration, slowdown float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil || len(w.routes) >= maxRoutes {
		w.routes = make(map[string]*RouteWork)
	}
	r := w.routes[route]
	if r == nil {
		r = new(RouteWork)
		w.routes[route] = r
	}
	r.Record(elapsed, slowdown)
}

func (w *routeWorks) times(route string) WorkTimes {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.routes[route]; r != nil {
		return r.WorkTimes
	}
	return WorkTimes{}
}

// takeHedgeToken takes a token for a hedge from the combined bucket. The share
// 1 - l.Hedge of its capacity stays reserved for retries, except that a full bucket always
// allows one hedge. In the long run, hedges use at most the share l.Hedge of the tokens
// that calls add.
func (s *serviceState) takeHedgeToken(l *Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.combined.spent+1 > max(l.Hedge*l.Capacity, 1) || !s.hedges.takeToken(time.Now(), l.Capacity) {
		return false
	}
	return s.combined.takeToken(time.Now(), l.Capacity)
}

// refundHedgeToken returns the token of a hedge that was not sent, or of a retry that was
// to be sent like one.
func (s *serviceState) refundHedgeToken(retry bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.combined.refund()
	if !retry {
		s.hedges.refund()
	}
}
