package limiter

import (
	"context"
	"net/http"
	"sync"
)

// handler charges the connection of each request for it.
type handler struct {
	http.Handler
	limiter *Limiter
	refuse  http.Handler // Refuses a request for want of memory.
}

// ServeHTTP serves r, or refuses it before anything was done for it.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	if c == nil {
		h.Handler.ServeHTTP(w, r)
		return
	}
	fields := len(r.Header)
	n := int64(requestBytes)
	if r.ProtoMajor > 1 || !c.hasRead.Load() {
		n += int64(fields * fieldBytes) // Not counted when it was read.
	}
	c.hold(n)
	if r.ProtoMajor > 1 {
		defer c.hold(-n) // With HTTP/1, what the request holds is released after its body.
	} else if !c.hasRead.Load() {
		// Its bytes came with the request before it, whose answer the client did not have.
		h.limiter.closed[Pipelined].Add(1)
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength == 0 {
		c.protected.Add(1)
		defer c.protected.Add(-1)
	}
	switch {
	case fields > maxFields:
		h.limiter.closed[Fields].Add(1)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
	case h.limiter.isOver(refuseFraction), h.limiter.isOver(closeFraction) && c.held.Load() > smallBytes:
		h.limiter.closed[Memory].Add(1)
		w.Header().Set("Connection", "close")
		h.refuse.ServeHTTP(w, r)
	default:
		h.Handler.ServeHTTP(w, r)
	}
}

// Request is what a request of a caller holds. A nil Request counts nothing.
type Request struct {
	conn *Conn

	mu          sync.Mutex
	held        int64
	isProtected bool
	isDone      bool
}

// RequestOf returns the Request with the context ctx, or nil when nothing is counted.
func RequestOf(ctx context.Context) *Request {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return &Request{conn: c}
	}
	return nil
}

// Hold adds n bytes, which may be negative, that the request holds at the latest until
// Finish.
func (r *Request) Hold(n int) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isDone {
		r.held += int64(n)
		r.conn.hold(int64(n))
	}
}

// Protect prevents until Finish that the connection is closed for want of memory or
// descriptors, because the request was read to its end or has a slot.
func (r *Request) Protect() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isDone && !r.isProtected {
		r.isProtected = true
		r.conn.protected.Add(1)
	}
}

// MayHold reports whether the budget has room for n more bytes that are read ahead.
func (r *Request) MayHold(n int) bool {
	if r == nil || r.conn.limiter.Memory == 0 {
		return true
	}
	l := r.conn.limiter
	return float64(l.held.Load()+int64(n)) <= aheadFraction*float64(l.Budget())
}

// Finish ends the request, which then holds nothing.
func (r *Request) Finish() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isDone = true
	r.conn.hold(-r.held)
	r.held = 0
	if r.isProtected {
		r.conn.protected.Add(-1)
	}
}

// concurrentHandler serves as many requests at a time as running has room for.
type concurrentHandler struct {
	http.Handler
	exempt  string // Path of requests that are always served.
	refuse  http.Handler
	running chan struct{}
}

// ServeHTTP serves or refuses r.
func (h *concurrentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == h.exempt {
		h.Handler.ServeHTTP(w, r)
		return
	}
	select {
	case h.running <- struct{}{}:
		defer func() { <-h.running }()
		h.Handler.ServeHTTP(w, r)
	default:
		w.Header().Set("Connection", "close")
		h.refuse.ServeHTTP(w, r)
	}
}
