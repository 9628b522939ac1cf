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

// Limit bounds all repeats of a service by this instance.
type Limit struct {
	Share  float64 // Repeats for each call.
	Tokens float64 // Repeats in addition, which come back with further calls.
}

type bucket struct{ spent float64 }

func (b *bucket) earn(share float64) { b.spent = max(b.spent-share, 0) }

func (b *bucket) take(tokens float64) bool {
	if b.spent+1 > tokens {
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
	all    bucket // Both, when a Limit is set.
}

func newService() *service { return &service{latencies: estimator.New()} }

func (s *service) begin(l *Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rerun.earn(rerunShare)
	s.reject.earn(rejectShare)
	if l != nil {
		s.all.earn(l.Share)
	}
}

func (s *service) take(b *bucket, l *Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != nil {
		return s.all.take(l.Tokens)
	}
	return b.take(maxTokens)
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
