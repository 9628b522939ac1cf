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
func (e *Entrance) Add(url string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.urls = append(e.urls, url)
}

// Remove stops calls to url.
func (e *Entrance) Remove(url string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.urls = slices.DeleteFunc(slices.Clone(e.urls), func(u string) bool { return u == url })
}

// pick returns a random url other than avoid, if there is one.
func (e *Entrance) pick(avoid string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.urls) == 0 {
		return "http://127.0.0.1:1"
	}
	i := rand.N(len(e.urls))
	if e.urls[i] == avoid {
		i = (i + 1) % len(e.urls)
	}
	return e.urls[i]
}
