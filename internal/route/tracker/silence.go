package tracker

import (
	"slices"
	"time"
)

const (
	// maxSilentCalls is the number of calls in a row without an answer from which a
	// server is ejected if others of its pool answer. A server that is only slow, or
	// takes in some of its calls without an answer, answers another call before.
	maxSilentCalls = 3
	// minSilence is the shortest time without an answer for an ejection, so that calls
	// that were lost at the same moment do not eject a server.
	minSilence = time.Second
	// A server that has reported a slowdown above maxSilentSlowdown within
	// maxSlowReportAge is slow and is not ejected for its silence.
	maxSilentSlowdown = 2
	maxSlowReportAge  = 500 * time.Millisecond
	// suspicionTime is the time after a silent call for which its server is suspected.
	// A server without further calls could not clear itself by an answer.
	suspicionTime = time.Second
	// maxLostTime is the time after which a call without an answer no longer counts as
	// held although nothing proves that it has ended. It exceeds the usual time limits
	// of calls, and a server without load reports must not lose its slots for good.
	maxLostTime = 10 * time.Second
)

// silence is what is known of the calls to a server that got no answer.
type silence struct {
	lost       []time.Time // Ends of calls without an answer that may still be at the server.
	calls      int         // Silent calls since the last answer.
	since      time.Time   // Time of the first of them.
	lastAt     time.Time   // Time of the last of them.
	answeredAt time.Time   // Time of the last answer to a call.
}

// MarkSilent records that a call in flight has gone without an answer for much longer
// than its route takes. It ejects a server that answers no calls while others do.
func (p *Pool) MarkSilent(now time.Time, s *Server) {
	if s.silence.calls == 0 {
		s.silence.since = now
	}
	s.silence.calls++
	s.silence.lastAt = now
	slowdown, age, ok := s.Slowdown(now)
	slow := ok && age <= maxSlowReportAge && slowdown > maxSilentSlowdown
	switch {
	case s.ejected:
		p.recordTrial(now, s, true)
	case !slow && s.silence.calls >= maxSilentCalls && now.Sub(s.silence.since) >= minSilence && p.othersAnswer(s):
		p.tryEject(now, s, "silent calls")
	}
}

// HoldLost counts a call that ended without an answer as held at the server, until a load
// report shows that it is no longer there.
func (p *Pool) HoldLost(now time.Time, s *Server) { s.silence.lost = append(s.silence.lost, now) }

// LostCalls returns the number of calls that ended without an answer and count as held.
func (s *Server) LostCalls(now time.Time) int {
	s.silence.lost = slices.DeleteFunc(s.silence.lost, func(at time.Time) bool { return now.Sub(at) >= maxLostTime })
	return len(s.silence.lost)
}

// SilentCalls returns the number of silent calls since the last answer of the server, if
// the last of them is recent.
func (s *Server) SilentCalls(now time.Time) int {
	if now.Sub(s.silence.lastAt) > suspicionTime {
		return 0
	}
	return s.silence.calls
}

// othersAnswer reports whether another server has answered a call since s fell silent.
func (p *Pool) othersAnswer(s *Server) bool {
	return slices.ContainsFunc(p.servers, func(o *Server) bool { return o != s && o.silence.answeredAt.After(s.silence.since) })
}

// recordAnswer records that the server answered a call.
func (s *Server) recordAnswer(now time.Time) { s.silence.calls, s.silence.answeredAt = 0, now }

// releaseLost releases the lost calls that are not among the reported ones. Calls that
// were lost after the report are kept.
func (s *Server) releaseLost(reportedAt time.Time, reportedCalls, ownInFlight int) {
	after := slices.IndexFunc(s.silence.lost, func(at time.Time) bool { return !at.Before(reportedAt) })
	if after < 0 {
		after = len(s.silence.lost)
	}
	keep := min(max(reportedCalls-ownInFlight, 0), after)
	s.silence.lost = slices.Delete(s.silence.lost, 0, after-keep)
}
