package retrier

import (
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/call/estimator"
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
)

// service holds the buckets and latencies of one service.
type service struct {
	latencies *estimator.Estimator

	mu     sync.Mutex
	rerun  bucket // Attempts that may run twice: retries after unknown, and hedges.
	reject bucket // Retries of attempts that did not run.
}

func newService() *service { return &service{latencies: estimator.New()} }

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

// hedge returns the time after which an attempt without an answer is hedged.
func (s *service) hedge(urgent bool) time.Duration {
	delay := s.latencies.Estimate()
	switch {
	case !urgent:
		return max(silence, delay)
	case delay == 0:
		return silence
	default:
		return max(leastDelay, delay)
	}
}
