package granter

import "time"

// works holds the time that the calls of each route take at the usual pace of
// their server. Routes of one rank may differ by a factor: a common figure would
// refuse the short calls although they still meet their target.
type works map[string]*estimate

// estimate is an EWMA in nanoseconds and the number of calls in it.
type estimate struct {
	mean  float64
	calls int
}

const (
	// leastCalls is the number of calls from which the figure of a route is used.
	leastCalls = 3
	// maxRoutes bounds the routes with a figure; a configuration has fewer.
	maxRoutes = 1024
	// cutMargin is the time before its deadline from which a call counts as ended
	// by it: the time for word of its end from an instance of another zone.
	cutMargin = 25 * time.Millisecond
)

// learn takes in the time of a call of route at the usual pace of its server.
func (w *works) learn(route string, time float64) {
	if *w == nil || len(*w) >= maxRoutes {
		*w = make(works)
	}
	e := (*w)[route]
	if e == nil {
		e = new(estimate)
		(*w)[route] = e
	}
	e.calls++
	// The first calls count as in a plain mean, so that the figure settles soon.
	e.mean += max(holdGain, 1/float64(e.calls)) * (time - e.mean)
}

// hurried reports whether the call of g ended by a deadline that left it too
// little time: that is no failure of its server.
func (p *Pool) hurried(now time.Time, g *grant) bool {
	work, ok := p.works.of(g.route)
	if !ok {
		work = g.guess
	}
	return !now.Before(g.deadline.Add(-cutMargin)) && float64(now.Sub(g.since)) < hurry*float64(work)*max(g.pace, 1)
}

// of returns the expected time of a call of route; ok is false while too few are known.
func (w works) of(route string) (time.Duration, bool) {
	e := w[route]
	if route == "" || e == nil || e.calls < leastCalls {
		return 0, false
	}
	return time.Duration(e.mean), true
}
