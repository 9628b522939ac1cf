package reader

import (
	"math/rand/v2"
	"time"
)

// backoff computes exponential retry delays between minDelay and maxDelay. Jitter
// keeps instances that failed together from retrying together.
type backoff struct {
	minDelay, maxDelay time.Duration
	currentDelay       time.Duration // Without jitter; 0 when the last call succeeded.
}

// nextDelay doubles the delay and returns it with jitter: between half of it and
// all of it.
func (b *backoff) nextDelay() time.Duration {
	b.currentDelay = min(b.maxDelay, max(b.minDelay, 2*b.currentDelay))
	return b.currentDelay/2 + rand.N(b.currentDelay/2+1)
}

func (b *backoff) reset() { b.currentDelay = 0 }

// addJitter returns d changed at random by up to 10% in either direction.
func addJitter(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }
