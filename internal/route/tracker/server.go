package tracker

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// State says whether a backend server gets new calls.
type State uint8

// The states of a backend server.
const (
	Ready    State = iota
	Ejected        // Failed too often; waits for its trial call.
	Trial          // Ejected, the delay has passed: one call may try it.
	Draining       // Asked for no new calls.
	Leaving        // Leaves by the platform's list.
)

// String returns the name of the state in status and audit trail.
func (s State) String() string {
	return [...]string{"ready", "ejected", "trial", "draining", "leaving"}[s]
}

// Result is what one call says about the backend server that ran it.
type Result struct {
	Failed  bool // Failed is set when the backend server caused the failure.
	Refused bool // Refused is set on the documented refusal.
	Drain   bool // Drain is set when the backend server asked for no new calls.
	Lost    bool // Lost is set when no answer arrived; Latency is then the time until the call was given up.
	Latency time.Duration
	Busy    int     // Calls that run or wait on the server by its own report, -1 when unknown.
	Pace    float64 // Time that work takes on it now, relative to its usual time; 0 when unknown.
}

// Figure is the result of a probe.
type Figure struct {
	Result
	Age time.Duration // Time since the probe.
}

// resultCounts counts the results of one half of the failure window.
type resultCounts struct{ results, failures float64 }

// Server is the state of one backend server; a Pool owns and changes it.
type Server struct {
	Name    string
	Address netip.AddrPort

	inFlight      int
	heldUntil     []time.Time // Ends of the times in which a slot of a fast failure stays occupied.
	limit         int
	cold          bool // The limit has not reached Slots since the start or return.
	successStreak int  // Successes since the last move of the limit or failure.
	leaving       bool

	latency   float64 // EWMA in nanoseconds, 0 when unknown.
	latencyAt time.Time

	recent, previous resultCounts
	recentSince      time.Time // Start of the half window that recent covers.

	ejected      bool
	ejectedAt    time.Time
	trialDelay   time.Duration // From the ejection to the trial call.
	readmittedAt time.Time     // Last return from ejection.

	drainedAt time.Time // Zero when the server does not drain.

	foreignCalls float64 // Calls in flight that other homes granted, by the last load report.
	reportedAt   time.Time
	reportedBusy int

	Born         uint64 // Start of its process; 0 when unknown.
	slots        int    // 0 means those of the pool.
	pace         float64
	paceAt       time.Time
	probeSentAt  time.Time // Zero when no probe is under way.
	backoffUntil time.Time
	backoff      time.Duration
}

// InFlight returns the calls in flight that this pool granted.
func (s *Server) InFlight() int { return s.inFlight }

// Limit returns the calls that the server may run at a time.
func (s *Server) Limit() int { return s.limit }

// State returns the state at time now.
func (s *Server) State(now time.Time) State {
	switch {
	case s.leaving:
		return Leaving
	case !s.drainedAt.IsZero():
		return Draining
	case s.ejected && now.Sub(s.ejectedAt) < s.trialDelay:
		return Ejected
	case s.ejected:
		return Trial
	}
	return Ready
}

// Free returns the number of calls that may be granted to the server now.
func (s *Server) Free(now time.Time) int {
	switch s.State(now) {
	case Ready:
		s.heldUntil = slices.DeleteFunc(s.heldUntil, func(end time.Time) bool { return !end.After(now) })
		return max(s.limit-s.inFlight-len(s.heldUntil), 0)
	case Trial:
		return max(1-s.inFlight, 0)
	default:
		return 0
	}
}

// Overdue reports whether the trial call has been due for a whole further delay.
func (s *Server) Overdue(now time.Time) bool {
	return s.State(now) == Trial && now.Sub(s.ejectedAt) >= 2*s.trialDelay
}

// Capacity returns the calls that the server may run at a time at time now, 0 while it gets none.
func (s *Server) Capacity(now time.Time) int {
	if s.State(now) == Ready {
		return s.limit
	}
	return 0
}

// Ratio returns the share of failures in the window and the number of results.
func (s *Server) Ratio(now time.Time, window time.Duration) (ratio, results float64) {
	s.advanceWindow(now, window)
	results = s.recent.results + s.previous.results
	if results == 0 {
		return 0, 0
	}
	return (s.recent.failures + s.previous.failures) / results, results
}

// advanceWindow moves the failure window, which consists of two halves.
func (s *Server) advanceWindow(now time.Time, window time.Duration) {
	half := window / 2
	switch age := now.Sub(s.recentSince); {
	case age < half:
	case age < window:
		s.previous, s.recent = s.recent, resultCounts{}
		s.recentSince = s.recentSince.Add(half)
	default:
		s.previous, s.recent = resultCounts{}, resultCounts{}
		s.recentSince = now
	}
}

func (s *Server) countResult(now time.Time, window time.Duration, failed bool) {
	s.advanceWindow(now, window)
	s.recent.results++
	if failed {
		s.recent.failures++
	}
}

// updateLatency updates the EWMA. A failure counts only when it took longer than the
// figure so far, so a server that fails fast never looks fast; the same holds
// for a call that was cancelled. A call that failed without an answer does not
// count: after a connection went silent, its time is that of the caller's
// deadline. Such times raised the median of a pool to 609 ms at a mean service
// time of 20 ms, and asks with less time left were refused.
func (s *Server) updateLatency(now time.Time, r Result) {
	latency := float64(r.Latency)
	if r.Refused || latency <= 0 || r.Lost && r.Failed || (r.Failed || r.Lost) && latency <= s.latency {
		return
	}
	if s.latency == 0 {
		if r.Failed || r.Lost {
			return
		}
		s.latency = latency
	}
	s.latency += latencyWeight * (latency - s.latency)
	s.latencyAt = now
}

// expectedLatency returns the latency in nanoseconds, moved towards median with its
// age: median + (ewma - median) x 2^(-age / halfLife).
func (s *Server) expectedLatency(now time.Time, median float64, halfLife time.Duration) float64 {
	if s.latency == 0 {
		return median
	}
	return median + (s.latency-median)*decayFactor(now.Sub(s.latencyAt), halfLife)
}

// updateLoad takes in a load report made at time at; own is the number of calls in
// flight that this pool granted at that time.
func (s *Server) updateLoad(reportedAt time.Time, busy, ownInFlight int) {
	if busy < 0 || reportedAt.Before(s.reportedAt) {
		return
	}
	s.reportedAt, s.reportedBusy = reportedAt, busy
	s.foreignCalls = float64(max(busy-ownInFlight, 0))
}

// Reported returns the calls at the server that this pool did not grant, by its
// last load report, and the age of the report; ok is false without one.
func (s *Server) Reported(now time.Time) (foreign int, age time.Duration, ok bool) {
	return int(s.foreignCalls), now.Sub(s.reportedAt), !s.reportedAt.IsZero()
}

// foreignInFlight returns the calls in flight that other homes granted, by a load
// report that loses weight with its age.
func (s *Server) foreignInFlight(now time.Time) float64 {
	if s.foreignCalls == 0 {
		return 0
	}
	return s.foreignCalls * decayFactor(now.Sub(s.reportedAt), reportHalfLife)
}

func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
