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

// tally counts the results of one half of the failure window.
type tally struct{ results, failures float64 }

// Server is the state of one backend server; a Pool owns and changes it.
type Server struct {
	Name    string
	Address netip.AddrPort

	inFlight int
	held     []time.Time // Ends of the times in which a slot of a fast failure stays occupied.
	limit    int
	cold     bool // The limit has not reached Slots since the start or return.
	streak   int  // Successes since the last move of the limit or failure.
	leaving  bool

	latency   float64 // EWMA in nanoseconds, 0 when unknown.
	latencyAt time.Time

	recent, before tally
	turned         time.Time // Start of the half window that recent covers.

	ejected   bool
	ejectedAt time.Time
	delay     time.Duration // From the ejection to the trial call.
	returned  time.Time     // Last return from ejection.

	drainedAt time.Time // Zero when the server does not drain.

	extra    float64 // Calls in flight that other homes granted, by the last load report.
	reported time.Time
	busy     int

	Born        uint64 // Start of its process; 0 when unknown.
	slots       int    // 0 means those of the pool.
	pace        float64
	paceAt      time.Time
	sampled     time.Time // Zero when no probe is under way.
	pausedUntil time.Time
	pause       time.Duration
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
	case s.ejected && now.Sub(s.ejectedAt) < s.delay:
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
		s.held = slices.DeleteFunc(s.held, func(end time.Time) bool { return !end.After(now) })
		return max(s.limit-s.inFlight-len(s.held), 0)
	case Trial:
		return max(1-s.inFlight, 0)
	default:
		return 0
	}
}

// Overdue reports whether the trial call has been due for a whole further delay.
func (s *Server) Overdue(now time.Time) bool {
	return s.State(now) == Trial && now.Sub(s.ejectedAt) >= 2*s.delay
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
	s.turn(now, window)
	results = s.recent.results + s.before.results
	if results == 0 {
		return 0, 0
	}
	return (s.recent.failures + s.before.failures) / results, results
}

// turn moves the failure window, which consists of two halves.
func (s *Server) turn(now time.Time, window time.Duration) {
	half := window / 2
	switch age := now.Sub(s.turned); {
	case age < half:
	case age < window:
		s.before, s.recent = s.recent, tally{}
		s.turned = s.turned.Add(half)
	default:
		s.before, s.recent = tally{}, tally{}
		s.turned = now
	}
}

func (s *Server) count(now time.Time, window time.Duration, failed bool) {
	s.turn(now, window)
	s.recent.results++
	if failed {
		s.recent.failures++
	}
}

// observe updates the EWMA. A failure counts only when it took longer than the
// figure so far, so a server that fails fast never looks fast; the same holds
// for a call that was cancelled. A call that failed without an answer does not
// count: after a connection went silent, its time is that of the caller's
// deadline. Such times raised the median of a pool to 609 ms at a mean service
// time of 20 ms, and asks with less time left were refused.
func (s *Server) observe(now time.Time, r Result) {
	l := float64(r.Latency)
	if r.Refused || l <= 0 || r.Lost && r.Failed || (r.Failed || r.Lost) && l <= s.latency {
		return
	}
	if s.latency == 0 {
		if r.Failed || r.Lost {
			return
		}
		s.latency = l
	}
	s.latency += gain * (l - s.latency)
	s.latencyAt = now
}

// expected returns the latency in nanoseconds, moved towards median with its
// age: median + (ewma - median) x 2^(-age / halfLife).
func (s *Server) expected(now time.Time, median float64, halfLife time.Duration) float64 {
	if s.latency == 0 {
		return median
	}
	return median + (s.latency-median)*decay(now.Sub(s.latencyAt), halfLife)
}

// report takes in a load report made at time at; own is the number of calls in
// flight that this pool granted at that time.
func (s *Server) report(at time.Time, busy, own int) {
	if busy < 0 || at.Before(s.reported) {
		return
	}
	s.reported, s.busy = at, busy
	s.extra = float64(max(busy-own, 0))
}

// Reported returns the calls at the server that this pool did not grant, by its
// last load report, and the age of the report; ok is false without one.
func (s *Server) Reported(now time.Time) (foreign int, age time.Duration, ok bool) {
	return int(s.extra), now.Sub(s.reported), !s.reported.IsZero()
}

// foreign returns the calls in flight that other homes granted, by a load
// report that loses weight with its age.
func (s *Server) foreign(now time.Time) float64 {
	if s.extra == 0 {
		return 0
	}
	return s.extra * decay(now.Sub(s.reported), reportHalfLife)
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
