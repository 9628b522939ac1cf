package sender

import (
	"sync"

	"golang.org/x/sync/semaphore"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// BodyLimiter limits the bytes of request bodies that this instance holds in
// memory for each service. The zero value is ready to use.
type BodyLimiter struct {
	mu     sync.Mutex
	limits map[string]*serviceLimit // By service.
}

// serviceLimit is the semaphore of one service and its size.
type serviceLimit struct {
	*semaphore.Weighted
	bytes int
}

// Acquire reserves n bytes for service and returns the function that releases
// them. It returns false when the reservation would exceed limit. A limit of 0
// means parser.DefaultQueueBytes. When the limit of a service changes, bytes that
// were reserved before do not count against the new limit.
func (l *BodyLimiter) Acquire(service string, limit int, n int64) (release func(), ok bool) {
	if limit == 0 {
		limit = parser.DefaultQueueBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.limits[service]
	if s == nil || s.bytes != limit {
		if l.limits == nil {
			l.limits = make(map[string]*serviceLimit)
		}
		s = &serviceLimit{semaphore.NewWeighted(int64(limit)), limit}
		l.limits[service] = s
	}
	if !s.TryAcquire(n) {
		return nil, false
	}
	return func() { s.Release(n) }, true
}
