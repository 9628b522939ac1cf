package retrier

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shares of a service's calls that may be sent again, and the tokens that a
// bucket holds at most. Refused attempts cost a backend server nearly nothing,
// so more of them are retried than attempts that run.
const (
	rerunShare  = 0.05
	rejectShare = 0.20
	maxTokens   = 10.0
)

type bucket struct{ spent float64 }

func (b *bucket) earn(share float64) { b.spent = max(b.spent-share, 0) }

func (b *bucket) take() bool {
	if b.spent+1 > maxTokens {
		return false
	}
	b.spent++
	return true
}

const (
	// silence is the delay of hedges without a percentile: the connection may be silent.
	silence = time.Second
	// leastDelay keeps hedges of very fast services from following each call.
	leastDelay = time.Millisecond
	// leastCalls is the number of latencies from which a percentile is taken.
	leastCalls = 100
	percentile = 95

	// The latencies of the last windows x period are used.
	windows = 3
	period  = 5 * time.Second
	digits  = 2
	longest = time.Minute
)

// service holds the buckets and latencies of one service.
type service struct {
	mu        sync.Mutex
	rerun     bucket // Attempts that may run twice: retries after unknown, and hedges.
	reject    bucket // Retries of attempts that did not run.
	latencies *hdrhistogram.WindowedHistogram
	rotated   time.Time
	seen      int64
	delay     time.Duration // Percentile of the windows before the present one; 0 when too few.
}

func newService() *service {
	return &service{
		latencies: hdrhistogram.NewWindowed(windows, int64(time.Microsecond), int64(longest), digits),
		rotated:   time.Now(),
	}
}

func (s *service) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rerun.earn(rerunShare)
	s.reject.earn(rejectShare)
}

func (s *service) take(b *bucket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.take()
}

// record counts the latency of an answered call. The percentile is computed
// when a window ends and, at the start, after leastCalls calls.
func (s *service) record(latency time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.latencies.Current.RecordValue(int64(min(latency, longest)))
	s.seen++
	if now.Sub(s.rotated) < period && s.seen != leastCalls {
		return
	}
	s.delay = 0
	if all := s.latencies.Merge(); all.TotalCount() >= leastCalls {
		s.delay = time.Duration(all.ValueAtPercentile(percentile))
	}
	if now.Sub(s.rotated) >= period {
		s.latencies.Rotate()
		s.rotated = now
	}
}

// hedge returns the time after which an attempt without an answer is hedged.
func (s *service) hedge(urgent bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !urgent:
		return max(silence, s.delay)
	case s.delay == 0:
		return silence
	default:
		return max(leastDelay, s.delay)
	}
}
