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
	Share float64 // Tokens that each call adds; an extra attempt takes one token.
	// Capacity is the largest number of tokens in the bucket, which is full at the start. Below
	// 1, the part of a token that is missing must come from the calls of the last earnedTime.
	Capacity float64
	Hedge    float64 // Share of the tokens and of the capacity that hedges may use; 0 means that calls are not hedged.
}

// bucket is a token bucket that is refilled by calls instead of by time. It
// counts the tokens that are missing, so the zero value is a full bucket of any
// capacity.
type bucket struct {
	spent       float64
	earned      float64 // Tokens that calls have added to a full bucket of a capacity below 1.
	earnedSince time.Time
}

// earnedTime is the time after which such tokens expire, half of the window over which the
// platform counts repeats: the instances of a fleet could otherwise spend together, in one
// window, what they earned long before.
const earnedTime = 5 * time.Second

// refill adds the tokens of one call.
func (b *bucket) refill(now time.Time, share, capacity float64) {
	rest := max(share-b.spent, 0)
	b.spent = max(b.spent-share, 0)
	if capacity >= 1 || rest == 0 {
		return
	}
	if now.Sub(b.earnedSince) > earnedTime {
		b.earned, b.earnedSince = 0, now
	}
	b.earned = min(b.earned+rest, 1-capacity)
}

// refund gives a token back that was not used.
func (b *bucket) refund() { b.spent = max(b.spent-1, 0) }

// takeToken takes one token; it returns false when there is none.
func (b *bucket) takeToken(now time.Time, capacity float64) bool {
	earned := 0.0
	if capacity < 1 && now.Sub(b.earnedSince) <= earnedTime {
		earned = b.earned
	}
	// The sums of shares are not exact.
	if b.spent+1 > capacity+earned+1e-9 {
		return false
	}
	b.spent += 1 - earned
	b.earned = 0
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
	now := time.Now()
	s.reruns.refill(now, rerunShare, bucketCapacity)
	s.rejectedRetries.refill(now, rejectedShare, bucketCapacity)
	if l != nil {
		s.combined.refill(now, l.Share, l.Capacity)
		s.hedges.refill(now, l.Share*l.Hedge, l.Capacity)
	}
}

// takeToken takes a token from b, or from the combined bucket when l is set.
func (s *serviceState) takeToken(b *bucket, l *Limit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != nil {
		return s.combined.takeToken(time.Now(), l.Capacity)
	}
	return b.takeToken(time.Now(), bucketCapacity)
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
