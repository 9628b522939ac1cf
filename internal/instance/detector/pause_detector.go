package detector

import (
	"context"
	"sync"
	"time"
)

// Detector compares the clock with its own regular ticks.
type Detector struct {
	Tick   time.Duration       // Interval of the ticks; 0 means 100ms.
	Gap    time.Duration       // Time without a tick that counts as a pause; 0 means 1s.
	Paused func(time.Duration) // Called with the length of each pause, by one goroutine at a time.
	Now    func() time.Time    // nil means time.Now.

	mu        sync.Mutex
	lastCheck time.Time
}

const (
	defaultTickInterval   = 100 * time.Millisecond
	defaultPauseThreshold = time.Second
)

// Run ticks until ctx is done.
func (d *Detector) Run(ctx context.Context) error {
	interval := d.Tick
	if interval == 0 {
		interval = defaultTickInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		d.Check()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Check calls Paused when the process was paused since the last tick or Check.
// Decisions call it first: after a pause they may run before the next tick.
func (d *Detector) Check() {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	threshold := d.Gap
	if threshold == 0 {
		threshold = defaultPauseThreshold
	}
	if elapsed := d.elapsed(now); elapsed > threshold {
		d.Paused(elapsed)
	}
	d.lastCheck = now
}

// elapsed returns the longer of the times by the monotonic and the wall clock:
// a suspended machine stops the one, SIGSTOP neither.
func (d *Detector) elapsed(now time.Time) time.Duration {
	if d.lastCheck.IsZero() {
		return 0
	}
	return max(now.Sub(d.lastCheck), now.Round(0).Sub(d.lastCheck.Round(0)))
}

func (d *Detector) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}
