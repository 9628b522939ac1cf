package sender

import (
	"sync"

	"golang.org/x/sync/semaphore"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Bytes bounds the body bytes that this instance holds per service; the zero
// value is ready to use.
type Bytes struct {
	mu    sync.Mutex
	limit map[string]*bound
}

type bound struct {
	*semaphore.Weighted
	size int
}

// Take reserves n bytes of the limit of service and returns the function that
// gives them back; it returns false when the limit is reached. A limit of 0
// means parser.DefaultBytes.
func (b *Bytes) Take(service string, limit int, n int64) (free func(), ok bool) {
	if limit == 0 {
		limit = parser.DefaultBytes
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.limit[service]
	if s == nil || s.size != limit {
		if b.limit == nil {
			b.limit = make(map[string]*bound)
		}
		s = &bound{semaphore.NewWeighted(int64(limit)), limit}
		b.limit[service] = s
	}
	if !s.TryAcquire(n) {
		return nil, false
	}
	return func() { s.Release(n) }, true
}
