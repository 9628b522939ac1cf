package worker

import (
	"sync"
	"time"
)

// delayedGauge holds a value that is refreshed at most once per lag.
type delayedGauge struct {
	mu        sync.Mutex
	updatedAt time.Time
	value     int64
}

// update returns the held value. It first replaces it by current when the last
// refresh is at least lag ago.
func (g *delayedGauge) update(current int64, lag time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.updatedAt) >= lag {
		g.updatedAt, g.value = time.Now(), current
	}
	return g.value
}
