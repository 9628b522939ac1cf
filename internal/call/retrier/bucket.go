package retrier

import (
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/call/estimator"
)

// Tokens that each call of a service adds to the two buckets, and the capacity of
// a bucket in tokens. An extra attempt takes one token. A rejected attempt costs a backend server almost nothing, so
// more retries are allowed after rejected attempts than after attempts that may
// have run.
const (
	rerunShare     = 0.05
	rejectedShare  = 0.20
	bucketCapacity = 10.0
)

// Limit is the limit of all extra attempts of a service by this instance.
type Limit struct {
	Share    float64 // Tokens that each call adds; an extra attempt takes one token.
	Capacity float64 // Largest number of tokens in the bucket, which is full at the start.
	Hedge    float64 // Share of the tokens and of the capacity that hedges may use; 0 means that calls are not hedged.
}

// bucket is a token bucket that is refilled by calls instead of by time. It
// counts the tokens that are missing, so the zero value is a full bucket of any
// capacity.
type bucket struct{ spent float64 }

func (b *bucket) refill(share float64) { b.spent = max(b.spent-share, 0) }

// takeToken takes one token; it returns false when there is none.
func (b *bucket) takeToken(capacity float64) bool {
	if b.spent+1 > capacity {
		return false
	}
	b.spent++
	return true
}

const (
	// defaultHedgeDelay is used while too few latencies are known, and is the
	// lower bound for calls that are not urgent. A connection without an answer
	// for this time may be broken.
	defaultHedgeDelay = time.Second
	// minHedgeDelay is the lower bound for urgent calls. Without it, nearly
	// every call of a very fast service would be hedged.
	minHedgeDelay = time.Millisecond
)

// serviceState holds the token buckets and the latencies of one service.
type serviceState struct {
	latencies *estimator.Estimator

	mu              sync.Mutex
	reruns          bucket // For attempts by which a call may run twice: retries of unknown attempts, and hedges.
	rejectedRetries bucket // For retries of rejected attempts, which did not run.
	combined        bucket // Used for all extra attempts instead of the other two when a Limit is set.
	hedges          bucket // The part of combined that hedges use.

	work routeWorks
}

func newServiceState() *serviceState { return &serviceState{latencies: estimator.New()} }

// refillBuckets adds the tokens of one call to the buckets.
func (s *serviceState) refillBuckets(l *Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reruns.refill(rerunShare)
	s.rejectedRetries.refill(rejectedShare)
	if l != nil {
		s.combined.refill(l.Share)
		s.hedges.refill(l.Share * l.Hedge)
	}
}

// takeToken takes a token from b, or from the combined bucket when l is set.
func (s *serviceState) takeToken(b *bucket, l *Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != nil {
		return s.combined.takeToken(l.Capacity)
	}
	return b.takeToken(bucketCapacity)
}

// hedgeDelay returns how long an attempt may go without an answer before the
// call is hedged.
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
