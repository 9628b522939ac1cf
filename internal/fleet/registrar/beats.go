package registrar

import "time"

// Beats decides when heartbeats are sent: one in each period, and one more at
// once in a period that has news. The zero Next is due at once.
type Beats struct {
	Period time.Duration
	Next   time.Time // When the next heartbeat is due without news.

	lastEarly time.Time // Last heartbeat that was sent before it was due.
}

// Due reports whether a heartbeat is to be sent at now, and counts it as sent.
func (s *Beats) Due(now time.Time, hasNews bool) bool {
	switch {
	case !now.Before(s.Next):
	case hasNews && now.Sub(s.lastEarly) >= s.Period:
		s.lastEarly = now
	default:
		return false
	}
	s.Next = now.Add(s.Period)
	return true
}
