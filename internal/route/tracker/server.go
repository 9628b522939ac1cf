package tracker

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// State describes whether a backend server may receive new calls.
type State uint8

// The states of a backend server.
const (
	Ready     State = iota
	Ejected         // Too many calls failed; the trial delay has not passed.
	Trial           // Ejected, and the trial delay has passed: one call may run.
	Draining        // The server asked for no new calls.
	Leaving         // The platform's list shows the server as leaving.
	Evacuated       // The availability zone of the server is evacuated.
)

// String returns the name of the state in the status output and the audit trail.
func (s State) String() string {
	return [...]string{"ready", "ejected", "trial", "draining", "leaving", "evacuated"}[s]
}

// Result is the outcome of one call, as far as it tells something about the backend server.
type Result struct {
	Failed        bool // Failed is set when the backend server caused the failure.
	Refused       bool // Refused is set when the backend server states that it did not run the call.
	Drain         bool // Drain is set when the backend server asked for no new calls.
	Unanswered    bool // Unanswered is set when no response arrived; Latency is then the time until the call was abandoned.
	Silent        bool // Silent is set when no response arrived in much more time than the call should take, so that it may still be at the server.
	Latency       time.Duration
	ReportedCalls int     // Calls that run or wait on the server by its own report; -1 when unknown.
	Slowdown      float64 // Time that work takes on the server now divided by its usual time; 0 when unknown.
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Result
	Age time.Duration // Time since the probe was sent.
	// ColdStated is set when the server states for how long it is cold, which is Cold.
	ColdStated bool
	Cold       time.Duration
	ServerName string // Name that the server that answered gives itself; empty when unknown.
	Unsent     bool   // No probe was sent, so nothing is known and another may start.
}

// resultCounts holds the number of results and failures in one half of the failure
// window, and of the refusals by a server that reported free slots, which are no results.
type resultCounts struct{ results, failures, refusals float64 }

// Server is the state of one backend server. It is owned and updated by a Pool.
type Server struct {
	Name    string
	Address netip.AddrPort

	inFlight      int
	heldUntil     []time.Time // Times at which the slots held after fast failures become free.
	limit         int
	cold          bool // Set while the limit rises from 1, until it reaches the slots or a call is refused.
	successStreak int  // Successes since the last failure or change of the limit.
	leaving       bool
	evacuated     bool

	latency   float64 // EWMA in nanoseconds; 0 when unknown.
	latencyAt time.Time

	recent, previous resultCounts
	recentSince      time.Time // Start of the half of the failure window that recent covers.

	ejected      bool
	ejectedAt    time.Time
	trialDelay   time.Duration // Time from the ejection to the trial call.
	readmittedAt time.Time     // Time of the last successful trial call.

	drainedAt time.Time // Time of the drain signal; zero when the server is not draining.

	externalCalls float64 // Calls that this pool did not grant, by the last load report.
	reportedAt    time.Time
	reportedCalls int

	ProcessStart uint64 // Start of the server process according to the platform's list, in a unit of the platform; 0 when unknown.
	slots        int    // Slots of this server; 0 means the default of the pool.
	slowdown     float64
	slowdownAt   time.Time
	probeSentAt  time.Time // Time of the pending probe; zero when there is none.
	backoffUntil time.Time
	backoff      time.Duration
	displaced    bool // The last probe was answered by another server.
	coldStart    coldStart
	silence      silence
}

// InFlight returns the number of calls in flight that this pool granted.
func (s *Server) InFlight() int { return s.inFlight }

// Limit returns the number of calls that this pool may have in flight at the server.
func (s *Server) Limit() int { return s.limit }

// State returns the state at time now.
func (s *Server) State(now time.Time) State {
	switch {
	case s.leaving:
		return Leaving
	case s.evacuated:
		return Evacuated
	case !s.drainedAt.IsZero():
		return Draining
	case s.ejected && now.Sub(s.ejectedAt) < s.trialDelay:
		return Ejected
	case s.ejected:
		return Trial
	}
	return Ready
}

// FreeSlots returns the number of calls that may be granted to the server now.
// It is at most 1 in state Trial, and 0 in all other states but Ready.
func (s *Server) FreeSlots(now time.Time) int {
	switch s.State(now) {
	case Ready:
		s.heldUntil = slices.DeleteFunc(s.heldUntil, func(end time.Time) bool { return !end.After(now) })
		return max(s.limit-s.inFlight-len(s.heldUntil)-s.LostCalls(now), 0)
	case Trial:
		return max(1-s.inFlight, 0)
	default:
		return 0
	}
}

// TrialOverdue reports whether the trial call has been due for at least another trial delay.
func (s *Server) TrialOverdue(now time.Time) bool {
	return s.State(now) == Trial && now.Sub(s.ejectedAt) >= 2*s.trialDelay
}

// Capacity returns the limit of the server when it is Ready, and 0 in every other state.
func (s *Server) Capacity(now time.Time) int {
	if s.State(now) == Ready {
		return s.limit
	}
	return 0
}

// FailureRatio returns the share of failures in the failure window and the number of results.
func (s *Server) FailureRatio(now time.Time, window time.Duration) (ratio, results float64) {
	s.advanceWindow(now, window)
	results = s.recent.results + s.previous.results
	if results == 0 {
		return 0, 0
	}
	return (s.recent.failures + s.previous.failures) / results, results
}

// advanceWindow drops results that have left the failure window, half a window at a time.
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

// countResult adds a result to the failure window.
func (s *Server) countResult(now time.Time, window time.Duration, failed bool) {
	s.advanceWindow(now, window)
	s.recent.results++
	if failed {
		s.recent.failures++
	}
}

// updateLatency updates the EWMA of the latency. Failed and cancelled calls count
// only when they took longer than the current average, so a server that fails
// fast does not appear to be fast. A call that failed without a response does
// not count: when a connection stops responding, the elapsed time is the
// deadline of the caller. Such times raised the median of a pool to 609 ms at a
// mean service time of 20 ms, and requests with less time left were refused.
func (s *Server) updateLatency(now time.Time, r Result) {
	latency := float64(r.Latency)
	if r.Refused || latency <= 0 || r.Unanswered && r.Failed || (r.Failed || r.Unanswered) && latency <= s.latency {
		return
	}
	if s.latency == 0 {
		if r.Failed || r.Unanswered {
			return
		}
		s.latency = latency
	}
	s.latency += latencyWeight * (latency - s.latency)
	s.latencyAt = now
}

// expectedLatency returns the expected latency in nanoseconds. The average decays
// towards median with its age: median + (ewma - median) x 2^(-age / halfLife).
func (s *Server) expectedLatency(now time.Time, median float64, halfLife time.Duration) float64 {
	if s.latency == 0 {
		return median
	}
	return median + (s.latency-median)*decayFactor(now.Sub(s.latencyAt), halfLife)
}

// updateLoad stores a load report unless a later one is known. The server reports
// the calls of all instances; ownInFlight is the number of calls that this pool
// granted and that were in flight at the time of the report.
func (s *Server) updateLoad(reportedAt time.Time, reportedCalls, ownInFlight int) {
	if reportedCalls < 0 || reportedAt.Before(s.reportedAt) {
		return
	}
	s.releaseLost(reportedAt, reportedCalls, ownInFlight)
	s.reportedAt, s.reportedCalls = reportedAt, reportedCalls
	s.externalCalls = float64(max(reportedCalls-ownInFlight-len(s.silence.lost), 0))
}

// ReportedExternalCalls returns the number of calls at the server that this pool
// did not grant, by the last load report, and the age of that report. ok is
// false when there is no report.
func (s *Server) ReportedExternalCalls(now time.Time) (calls int, age time.Duration, ok bool) {
	return int(s.externalCalls), now.Sub(s.reportedAt), !s.reportedAt.IsZero()
}

// externalInFlight estimates the calls in flight that other instances granted.
// The number in the last load report decays with the age of the report.
func (s *Server) externalInFlight(now time.Time) float64 {
	if s.externalCalls == 0 {
		return 0
	}
	return s.externalCalls * decayFactor(now.Sub(s.reportedAt), reportHalfLife)
}

// decayFactor returns 2^(-age / halfLife); a negative age counts as 0.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(halfLife))
}
