package worker

import (
	"sync"
	"time"
)

// delayedGauge shows a value that is refreshed only once per lag.
type delayedGauge struct {
	mu        sync.Mutex
	updatedAt time.Time
	value     int64
}

func (g *delayedGauge) update(current int64, lag time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.updatedAt) >= lag {
		g.updatedAt, g.value = time.Now(), current
	}
	return g.value
}
