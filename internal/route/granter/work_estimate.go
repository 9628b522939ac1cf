package granter

import "time"

// workEstimates holds the time that the calls of each route take at the usual pace of
// their server. Routes of one rank may differ by a factor: a common figure would
// refuse the short calls although they still meet their target.
type workEstimates map[string]*workEstimate

// workEstimate is an EWMA in nanoseconds and the number of calls in it.
type workEstimate struct {
	mean  float64
	calls int
}

const (
	// minRouteCalls is the number of calls from which the figure of a route is used.
	minRouteCalls = 3
	// maxRoutes bounds the routes with a figure; a configuration has fewer.
	maxRoutes = 1024
	// deadlineMargin is the time before its deadline from which a call counts as ended
	// by it: the time for word of its end from an instance of another zone.
	deadlineMargin = 25 * time.Millisecond
)

// record takes in the time of a call of route at the usual pace of its server.
func (w *workEstimates) record(route string, time float64) {
	if *w == nil || len(*w) >= maxRoutes {
		*w = make(workEstimates)
	}
	e := (*w)[route]
	if e == nil {
		e = new(workEstimate)
		(*w)[route] = e
	}
	e.calls++
	// The first calls count as in a plain mean, so that the figure settles soon.
	e.mean += max(ewmaGain, 1/float64(e.calls)) * (time - e.mean)
}

// cutByDeadline reports whether the call of g ended by a deadline that left it too
// little time: that is no failure of its server.
func (p *Pool) cutByDeadline(now time.Time, g *grant) bool {
	work, ok := p.routeWork.expected(g.route)
	if !ok {
		work = g.assumedWork
	}
	return !now.Before(g.deadline.Add(-deadlineMargin)) && float64(now.Sub(g.grantedAt)) < maxCutWorkFactor*float64(work)*max(g.pace, 1)
}

// expected returns the expected time of a call of route; ok is false while too few are known.
func (w workEstimates) expected(route string) (time.Duration, bool) {
	e := w[route]
	if route == "" || e == nil || e.calls < minRouteCalls {
		return 0, false
	}
	return time.Duration(e.mean), true
}
