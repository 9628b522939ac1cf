package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minSamples is the number of latencies from which a percentile is taken.
	minSamples = 100
	percentile = 95

	// The latencies of the last windows x period are used.
	windowCount       = 3
	windowLength      = 5 * time.Second
	significantDigits = 2
	maxLatency        = time.Minute
)

// Estimator estimates the 95th percentile of latencies; New makes one.
type Estimator struct {
	mu          sync.Mutex
	latencies   *hdrhistogram.WindowedHistogram
	windowStart time.Time
	samples     int64
	estimate    time.Duration // Percentile of the windows before the present one; 0 when too few.
}

// New returns an Estimator without any latency.
func New() *Estimator {
	return &Estimator{
		latencies:   hdrhistogram.NewWindowed(windowCount, int64(time.Microsecond), int64(maxLatency), significantDigits),
		windowStart: time.Now(),
	}
}

// Record counts the latency of an answered call. The percentile is computed
// when a window ends and, at the start, after leastCalls calls.
func (e *Estimator) Record(latency time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.latencies.Current.RecordValue(int64(min(latency, maxLatency)))
	e.samples++
	if now.Sub(e.windowStart) < windowLength && e.samples != minSamples {
		return
	}
	e.estimate = 0
	if merged := e.latencies.Merge(); merged.TotalCount() >= minSamples {
		e.estimate = time.Duration(merged.ValueAtPercentile(percentile))
	}
	if now.Sub(e.windowStart) >= windowLength {
		e.latencies.Rotate()
		e.windowStart = now
	}
}

// Estimate returns the 95th percentile, 0 while too few latencies are known.
func (e *Estimator) Estimate() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate
}
