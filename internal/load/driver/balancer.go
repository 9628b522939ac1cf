package driver

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// Entrance stands for the platform's own load balancer: it spreads calls over
// the instances that it believes to be ready. The zero value has none.
type Entrance struct {
	mu   sync.Mutex
	urls []string
}

// Add makes url receive calls.
func (b *Entrance) Add(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = append(b.urls, url)
}

// Remove stops calls to url.
func (b *Entrance) Remove(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = slices.DeleteFunc(slices.Clone(b.urls), func(u string) bool { return u == url })
}

// pickURL returns a random url other than avoid, if there is one.
func (b *Entrance) pickURL(avoid string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.urls) == 0 {
		return "http://127.0.0.1:1"
	}
	i := rand.N(len(b.urls))
	if b.urls[i] == avoid {
		i = (i + 1) % len(b.urls)
	}
	return b.urls[i]
}
