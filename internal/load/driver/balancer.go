package driver

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// PlatformBalancer simulates the load balancer that a hosting platform puts in
// front of the instances: it distributes calls at random over the instances that
// it considers ready. The zero value has no instances.
type PlatformBalancer struct {
	mu   sync.Mutex
	urls []string // Base URLs of the instances that are considered ready.
}

// AddInstance adds the instance with base URL url to those that receive calls.
func (b *PlatformBalancer) AddInstance(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = append(b.urls, url)
}

// RemoveInstance removes the instance with base URL url from those that receive
// calls.
func (b *PlatformBalancer) RemoveInstance(url string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.urls = slices.DeleteFunc(slices.Clone(b.urls), func(u string) bool { return u == url })
}

// pickURL returns the base URL of a random instance, other than avoid if there is
// another one. Without instances it returns a URL that refuses connections.
func (b *PlatformBalancer) pickURL(avoid string) string {
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
