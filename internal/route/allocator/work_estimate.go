package allocator

import "time"

// workEstimates holds the estimated work of the calls of each route: their hold
// time at the usual speed of their server. The work of routes of one rank can
// differ by a factor of two or more. An estimate shared by all of them would cause
// short calls to be refused that can still meet their target.
type workEstimates map[string]*workEstimate

// workEstimate is an EWMA of work in nanoseconds and the number of calls in it.
type workEstimate struct {
	mean  float64
	calls int
}

const (
	// minRouteCalls is the number of calls from which the estimate of a route
	// is used.
	minRouteCalls = 3
	// maxRoutes limits the number of routes with an estimate. All estimates are
	// dropped when it is reached. Configurations have fewer routes.
	maxRoutes = 1024
	// deadlineMargin is the time before its deadline from which an ended call
	// counts as ended by the deadline. It covers the delay of the report that
	// the call has ended from an instance in another zone.
	deadlineMargin = 25 * time.Millisecond
)

// record records the work of a call of route.
func (w *workEstimates) record(route string, work float64) {
	if *w == nil || len(*w) >= maxRoutes {
		*w = make(workEstimates)
	}
	e := (*w)[route]
	if e == nil {
		e = new(workEstimate)
		(*w)[route] = e
	}
	e.calls++
	// The first calls form a plain mean, so that the estimate converges
	// quickly.
	e.mean += max(ewmaGain, 1/float64(e.calls)) * (work - e.mean)
}

// cutByDeadline reports whether the call of g ended at a deadline that left less
// than maxCutWorkFactor times the time for its work, which is not a failure of
// the server.
func (p *Pool) cutByDeadline(now time.Time, g *grant) bool {
	work, ok := p.routeWork.expected(g.route)
	if !ok {
		work = g.assumedWork
	}
	return !now.Before(g.deadline.Add(-deadlineMargin)) && float64(now.Sub(g.grantedAt)) < maxCutWorkFactor*float64(work)*max(g.slowdown, 1)
}

// expected returns the expected work of a call of route. It returns false while
// too few calls of the route have ended.
func (w workEstimates) expected(route string) (time.Duration, bool) {
	e := w[route]
	if route == "" || e == nil || e.calls < minRouteCalls {
		return 0, false
	}
	return time.Duration(e.mean), true
}
