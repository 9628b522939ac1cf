package worker

import (
	"sync"
	"time"
)

// gauge shows a value that is refreshed only once per lag.
type gauge struct {
	mu    sync.Mutex
	taken time.Time
	value int64
}

func (g *gauge) read(now int64, lag time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.taken) >= lag {
		g.taken, g.value = time.Now(), now
	}
	return g.value
}
