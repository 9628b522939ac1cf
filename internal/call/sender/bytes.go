package sender

import (
	"sync"

	"golang.org/x/sync/semaphore"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Bytes bounds the body bytes that this instance holds per service; the zero
// value is ready to use.
type Bytes struct {
	mu     sync.Mutex
	limits map[string]*serviceLimit
}

type serviceLimit struct {
	*semaphore.Weighted
	bytes int
}

// Take reserves n bytes of the limit of service and returns the function that
// gives them back; it returns false when the limit is reached. A limit of 0
// means parser.DefaultBytes.
func (l *Bytes) Take(service string, limit int, n int64) (release func(), ok bool) {
	if limit == 0 {
		limit = parser.DefaultBytes
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
