package registrar

import "time"

// HeartbeatSchedule determines when heartbeats are sent: one per period, and at
// most one more per period as soon as there is news to gossip. With a zero
// NextDue, a heartbeat is due immediately.
type HeartbeatSchedule struct {
	Period  time.Duration
	NextDue time.Time // Time at which the next heartbeat is due if there is no news.

	lastEarly time.Time // Time of the last heartbeat that news caused before NextDue.
}

// TakeDue reports whether a heartbeat is to be sent at now. If so, it records the
// heartbeat as sent.
func (s *HeartbeatSchedule) TakeDue(now time.Time, hasNews bool) bool {
	switch {
	case !now.Before(s.NextDue):
	case hasNews && now.Sub(s.lastEarly) >= s.Period:
		s.lastEarly = now
	default:
		return false
	}
	s.NextDue = now.Add(s.Period)
	return true
}
