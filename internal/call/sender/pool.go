package sender

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// freshness bounds the idle time of a connection that carries a
	// non-idempotent call; an older one may have gone silent.
	freshness = time.Second
	// warmth bounds the idle time of a connection that carries an idempotent
	// call; common servers close idle connections after 60 s or more.
	warmth = 30 * time.Second
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
	// continueTimeout bounds the wait for 100 Continue before the body is sent
	// anyway, as RFC 9110 section 10.1.1 demands.
	continueTimeout = time.Second
)

// link is one connection to a backend server.
type link struct {
	*http.ClientConn
	conn  *trackedConn
	pool  *pool
	timer *time.Timer // Closes the connection when it stays idle.
	used  time.Time   // End of the last exchange.
}

// pool holds the connections to one backend server.
type pool struct {
	server netip.AddrPort

	mu      sync.Mutex
	open    int
	idle    []*link // Most recently used last.
	changed chan struct{}
}

type dialKey struct{}

// dial is the DialContext of the transport; it tracks the new connection for
// the link in ctx.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l := ctx.Value(dialKey{}).(*link)
	l.conn = &trackedConn{Conn: c, clean: l.put, gone: l.gone}
	return l.conn, nil
}

// get returns an idle connection that was used within age, or a new one. It
// waits while limit connections are open and none of them is idle.
func (p *pool) get(ctx context.Context, t *http.Transport, age time.Duration, limit int) (*link, error) {
	for {
		l, stale, wait := p.take(age, limit)
		if stale != nil {
			_ = stale.Close()
			continue
		}
		if l != nil {
			return l, nil
		}
		if wait == nil {
			return p.dial(ctx, t)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// take returns one of: a usable idle connection, an idle one that must be
// closed to stay within limit, a channel to wait on, or nothing when the caller
// may dial; the new connection is then already counted.
func (p *pool) take(age time.Duration, limit int) (l, stale *link, wait <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		l := p.idle[n-1]
		if l.Err() == nil && time.Since(l.used) <= age {
			p.idle = p.idle[:n-1]
			l.timer.Stop()
			return l, nil, nil
		}
		if p.open >= limit {
			stale := p.idle[0]
			p.idle = p.idle[1:]
			stale.timer.Stop()
			return nil, stale, nil
		}
	}
	if p.open < limit {
		p.open++
		return nil, nil, nil
	}
	return nil, nil, p.changed
}

func (p *pool) dial(ctx context.Context, t *http.Transport) (*link, error) {
	l := &link{pool: p}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	cc, err := t.NewClientConn(context.WithValue(ctx, dialKey{}, l), "http", p.server.String())
	if err != nil {
		if l.conn == nil {
			l.gone()
		} else {
			_ = l.conn.Close()
		}
		return nil, err
	}
	l.ClientConn = cc
	return l, nil
}

// put makes the connection available for the next exchange.
func (l *link) put() {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	l.used = time.Now()
	l.timer = time.AfterFunc(warmth, l.expire)
	p.idle = append(p.idle, l)
	p.broadcast()
}

func (l *link) expire() {
	if l.pool.remove(l) {
		_ = l.Close()
	}
}

// gone forgets a connection that was closed.
func (l *link) gone() {
	p := l.pool
	p.remove(l)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.broadcast()
}

// remove takes l out of the idle connections and reports whether it was one.
func (p *pool) remove(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.idle {
		if p.idle[i] == l {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			l.timer.Stop()
			return true
		}
	}
	return false
}

// drop closes the idle connections that were last used before before.
func (p *pool) drop(before time.Time) {
	p.mu.Lock()
	var old, idle []*link
	for _, l := range p.idle {
		if l.used.Before(before) {
			old = append(old, l)
		} else {
			idle = append(idle, l)
		}
	}
	p.idle = idle
	p.mu.Unlock()
	for _, l := range old {
		l.timer.Stop()
		_ = l.Close()
	}
}

// broadcast wakes all calls that wait; p.mu is held.
func (p *pool) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pool) empty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open == 0
}

func (p *pool) active(age time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	return p.open > n || n > 0 && time.Since(p.idle[n-1].used) <= age
}
