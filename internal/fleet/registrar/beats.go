package registrar

import "time"

// Beats decides when heartbeats are sent: one in each period, and one more at
// once in a period that has news. The zero Next is due at once.
type Beats struct {
	Period time.Duration
	Next   time.Time // When the next heartbeat is due without news.

	early time.Time // Last heartbeat that was sent before it was due.
}

// Due reports whether a heartbeat is to be sent at now, and counts it as sent.
func (b *Beats) Due(now time.Time, fresh bool) bool {
	switch {
	case !now.Before(b.Next):
	case fresh && now.Sub(b.early) >= b.Period:
		b.early = now
	default:
		return false
	}
	b.Next = now.Add(b.Period)
	return true
}
