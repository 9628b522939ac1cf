package reader

import (
	"math/rand/v2"
	"time"
)

// backoff doubles the delay after each failure, with jitter so that instances
// that failed together do not retry together.
type backoff struct {
	minDelay, maxDelay time.Duration
	currentDelay       time.Duration
}

func (b *backoff) nextDelay() time.Duration {
	b.currentDelay = min(b.maxDelay, max(b.minDelay, 2*b.currentDelay))
	return b.currentDelay/2 + rand.N(b.currentDelay/2+1)
}

func (b *backoff) reset() { b.currentDelay = 0 }

// addJitter returns d with jitter of 10% in both directions.
func addJitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }
