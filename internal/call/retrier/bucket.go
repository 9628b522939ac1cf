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
	rerunShare    = 0.05
	rejectedShare = 0.20
	maxTokens     = 10.0
)

// Limit bounds all repeats of a service by this instance.
type Limit struct {
	Share  float64 // Repeats for each call.
	Tokens float64 // Repeats in addition, which come back with further calls.
}

type bucket struct{ spent float64 }

func (b *bucket) refill(share float64) { b.spent = max(b.spent-share, 0) }

func (b *bucket) takeToken(capacity float64) bool {
	if b.spent+1 > capacity {
		return false
	}
	b.spent++
	return true
}

const (
	// defaultHedgeDelay is the delay of hedges without a percentile: the connection may be silent.
	defaultHedgeDelay = time.Second
	// minHedgeDelay keeps hedges of very fast services from following each call.
	minHedgeDelay = time.Millisecond
)

// serviceState holds the buckets and latencies of one service.
type serviceState struct {
	latencies *estimator.Estimator

	mu              sync.Mutex
	reruns          bucket // Attempts that may run twice: retries after unknown, and hedges.
	rejectedRetries bucket // Retries of attempts that did not run.
	combined        bucket // Both, when a Limit is set.
}

func newServiceState() *serviceState { return &serviceState{latencies: estimator.New()} }

func (s *serviceState) refillBuckets(l *Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reruns.refill(rerunShare)
	s.rejectedRetries.refill(rejectedShare)
	if l != nil {
		s.combined.refill(l.Share)
	}
}

func (s *serviceState) takeToken(b *bucket, l *Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != nil {
		return s.combined.takeToken(l.Tokens)
	}
	return b.takeToken(maxTokens)
}

// hedgeDelay returns the time after which an attempt without an answer is hedged.
func (s *serviceState) hedgeDelay(urgent bool) time.Duration {
	delay := s.latencies.Estimate()
	switch {
	case !urgent:
		return max(defaultHedgeDelay, delay)
	case delay == 0:
		return defaultHedgeDelay
	default:
		return max(minHedgeDelay, delay)
	}
}
