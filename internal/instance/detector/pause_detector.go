package detector

import (
	"context"
	"sync"
	"time"
)

// Detector detects a pause of the process by the time since its last regular check.
// The exported fields are set before Run.
type Detector struct {
	Tick   time.Duration       // Interval of the regular checks; 0 means 100ms.
	Gap    time.Duration       // A longer time without a check counts as a pause; 0 means 1s.
	Paused func(time.Duration) // Called with the duration of each pause, by one goroutine at a time.
	Now    func() time.Time    // nil means time.Now.

	mu        sync.Mutex
	lastCheck time.Time
}

const (
	defaultTickInterval   = 100 * time.Millisecond
	defaultPauseThreshold = time.Second
)

// Run checks for pauses at regular intervals until ctx is done.
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

// Check calls OnPause if the process was paused since the last check. It is also
// called before decisions, because after a pause they may run before the next
// regular check.
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

// elapsed returns the time since the last check by the monotonic or the wall clock,
// whichever is longer. The monotonic clock stops while the machine is suspended;
// SIGSTOP stops neither clock.
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
