package worker

import (
	"sync"
	"time"
)

// RunCounter counts how often each call and each attempt ran, over all backend servers
// of a trial. The zero value is ready to use. A nil *RunCounter counts nothing.
type RunCounter struct {
	mu          sync.Mutex
	callRuns    map[string]int
	firstRuns   map[string]time.Time
	attemptRuns map[string]int
}

// CallRuns returns how often a call ran, in all of its attempts.
func (c *RunCounter) CallRuns(call string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callRuns[call]
}

// FirstRun returns the time of the first run of a call, and false when it never ran.
func (c *RunCounter) FirstRun(call string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.firstRuns[call]
	return at, ok
}

// AttemptRuns returns how often the attempt with this token ran.
func (c *RunCounter) AttemptRuns(token string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptRuns[token]
}

func (c *RunCounter) countRun(call, token string) {
	if c == nil || call == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.callRuns == nil {
		c.callRuns, c.attemptRuns, c.firstRuns = make(map[string]int), make(map[string]int), make(map[string]time.Time)
	}
	if c.callRuns[call] == 0 {
		c.firstRuns[call] = time.Now()
	}
	c.callRuns[call]++
	c.attemptRuns[token]++
}
