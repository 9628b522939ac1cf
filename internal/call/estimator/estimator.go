package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// leastCalls is the number of latencies from which a percentile is taken.
	leastCalls = 100
	percentile = 95

	// The latencies of the last windows x period are used.
	windows = 3
	period  = 5 * time.Second
	digits  = 2
	longest = time.Minute
)

// Estimator estimates the 95th percentile of latencies; New makes one.
type Estimator struct {
	mu        sync.Mutex
	latencies *hdrhistogram.WindowedHistogram
	rotated   time.Time
	seen      int64
	estimate  time.Duration // Percentile of the windows before the present one; 0 when too few.
}

// New returns an Estimator without any latency.
func New() *Estimator {
	return &Estimator{
		latencies: hdrhistogram.NewWindowed(windows, int64(time.Microsecond), int64(longest), digits),
		rotated:   time.Now(),
	}
}

// Record counts the latency of an answered call. The percentile is computed
// when a window ends and, at the start, after leastCalls calls.
func (e *Estimator) Record(latency time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.latencies.Current.RecordValue(int64(min(latency, longest)))
	e.seen++
	if now.Sub(e.rotated) < period && e.seen != leastCalls {
		return
	}
	e.estimate = 0
	if all := e.latencies.Merge(); all.TotalCount() >= leastCalls {
		e.estimate = time.Duration(all.ValueAtPercentile(percentile))
	}
	if now.Sub(e.rotated) >= period {
		e.latencies.Rotate()
		e.rotated = now
	}
}

// Estimate returns the 95th percentile, 0 while too few latencies are known.
func (e *Estimator) Estimate() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate
}
