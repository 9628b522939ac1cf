package estimator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minSamples is the number of latencies below which no percentile is computed.
	minSamples = 100
	percentile = 95

	// The latencies of the last windowCount x windowLength are used.
	windowCount       = 3
	windowLength      = 5 * time.Second
	significantDigits = 2
	maxLatency        = time.Minute
)

// Estimator estimates the 95th percentile of recent latencies. It is created by
// New and may be used by several goroutines at the same time.
type Estimator struct {
	mu          sync.Mutex
	latencies   *hdrhistogram.WindowedHistogram
	windowStart time.Time
	samples     int64         // Latencies recorded since New.
	estimate    time.Duration // Percentile at the last computation; 0 when there were too few latencies.
}

// New returns an Estimator that holds no latencies.
func New() *Estimator {
	return &Estimator{
		latencies:   hdrhistogram.NewWindowed(windowCount, int64(time.Microsecond), int64(maxLatency), significantDigits),
		windowStart: time.Now(),
	}
}

// Record adds the latency of an answered call. The percentile is computed again
// when a window ends, and once when the first minSamples latencies are recorded.
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

// Estimate returns the 95th percentile of recent latencies, or 0 when fewer than
// minSamples latencies were recorded in the windows.
func (e *Estimator) Estimate() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate
}
