package reader

import (
	"math/rand/v2"
	"time"
)

// backoff doubles the delay after each failure, with jitter so that instances
// that failed together do not retry together.
type backoff struct {
	least, most time.Duration
	current     time.Duration
}

func (b *backoff) next() time.Duration {
	b.current = min(b.most, max(b.least, 2*b.current))
	return b.current/2 + rand.N(b.current/2+1)
}

func (b *backoff) reset() { b.current = 0 }

// spread returns d with jitter of 10% in both directions.
func spread(d time.Duration) time.Duration { return d*9/10 + rand.N(d/5+1) }
