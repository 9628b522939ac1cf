package detector

import (
	"context"
	"sync"
	"time"
)

// PauseDetector detects a pause of the process by the time since its last regular
// check. The exported fields are set before Run.
type PauseDetector struct {
	TickInterval   time.Duration       // Interval of the regular checks; 0 means 100ms.
	PauseThreshold time.Duration       // A longer time without a check counts as a pause; 0 means 1s.
	OnPause        func(time.Duration) // Called with the duration of each pause, by one goroutine at a time.
	Now            func() time.Time    // nil means time.Now.

	mu        sync.Mutex
	lastCheck time.Time
}

const (
	defaultTickInterval   = 100 * time.Millisecond
	defaultPauseThreshold = time.Second
)

// Run checks for pauses at regular intervals until ctx is done.
func (p *PauseDetector) Run(ctx context.Context) error {
	interval := p.TickInterval
	if interval == 0 {
		interval = defaultTickInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		p.CheckPause()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// CheckPause calls OnPause if the process was paused since the last check. It is also
// called before decisions, because after a pause they may run before the next
// regular check.
func (p *PauseDetector) CheckPause() {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	threshold := p.PauseThreshold
	if threshold == 0 {
		threshold = defaultPauseThreshold
	}
	if elapsed := p.elapsed(now); elapsed > threshold {
		p.OnPause(elapsed)
	}
	p.lastCheck = now
}

// elapsed returns the time since the last check; see Elapsed.
func (p *PauseDetector) elapsed(now time.Time) time.Duration {
	if p.lastCheck.IsZero() {
		return 0
	}
	return Elapsed(p.lastCheck, now)
}

// Elapsed returns the time from start to end by the monotonic or the wall clock,
// whichever is longer. The monotonic clock stops while the machine is suspended;
// SIGSTOP stops neither clock.
func Elapsed(start, end time.Time) time.Duration {
	return max(end.Sub(start), end.Round(0).Sub(start.Round(0)))
}

func (p *PauseDetector) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}
