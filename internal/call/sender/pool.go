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
	// maxFreshIdleTime bounds the idle time of a connection that carries a
	// non-idempotent call; an older one may have gone silent.
	maxFreshIdleTime = time.Second
	// maxIdleTime bounds the idle time of a connection that carries an idempotent
	// call; common servers close idle connections after 60 s or more.
	maxIdleTime = 30 * time.Second
	// maxResponseHeaderBytes bounds the header of an answer, in bytes.
	maxResponseHeaderBytes = 64 << 10
	// continueTimeout bounds the wait for 100 Continue before the body is sent
	// anyway, as RFC 9110 section 10.1.1 demands.
	continueTimeout = time.Second
)

// pooledConn is one connection to a backend server.
type pooledConn struct {
	*http.ClientConn
	tracked   *trackedConn
	pool      *connPool
	idleTimer *time.Timer // Closes the connection when it stays idle.
	lastUsed  time.Time   // End of the last exchange.
}

// connPool holds the connections to one backend server.
type connPool struct {
	server netip.AddrPort

	mu        sync.Mutex
	openConns int
	idleConns []*pooledConn // Most recently used last.
	changed   chan struct{}
}

type pooledConnKey struct{}

// dialTracked is the DialContext of the transport; it tracks the new connection for
// the link in ctx.
func dialTracked(ctx context.Context, network, addr string) (net.Conn, error) {
	netConn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := ctx.Value(pooledConnKey{}).(*pooledConn)
	conn.tracked = &trackedConn{Conn: netConn, onReusable: conn.returnToPool, onClosed: conn.removeClosed}
	return conn.tracked, nil
}

// acquireConn returns an idle connection that was used within age, or a new one. It
// waits while limit connections are open and none of them is idle.
func (p *connPool) acquireConn(ctx context.Context, transport *http.Transport, maxIdle time.Duration, limit int) (*pooledConn, error) {
	for {
		conn, stale, wait := p.tryAcquireConn(maxIdle, limit)
		if stale != nil {
			_ = stale.Close()
			continue
		}
		if conn != nil {
			return conn, nil
		}
		if wait == nil {
			return p.dialConn(ctx, transport)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// tryAcquireConn returns one of: a usable idle connection, an idle one that must be
// closed to stay within limit, a channel to wait on, or nothing when the caller
// may dial; the new connection is then already counted.
func (p *connPool) tryAcquireConn(maxIdle time.Duration, limit int) (conn, stale *pooledConn, wait <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idleConns); n > 0 {
		conn := p.idleConns[n-1]
		if conn.Err() == nil && time.Since(conn.lastUsed) <= maxIdle {
			p.idleConns = p.idleConns[:n-1]
			conn.idleTimer.Stop()
			return conn, nil, nil
		}
		if p.openConns >= limit {
			stale := p.idleConns[0]
			p.idleConns = p.idleConns[1:]
			stale.idleTimer.Stop()
			return nil, stale, nil
		}
	}
	if p.openConns < limit {
		p.openConns++
		return nil, nil, nil
	}
	return nil, nil, p.changed
}

func (p *connPool) dialConn(ctx context.Context, transport *http.Transport) (*pooledConn, error) {
	conn := &pooledConn{pool: p}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	clientConn, err := transport.NewClientConn(context.WithValue(ctx, pooledConnKey{}, conn), "http", p.server.String())
	if err != nil {
		if conn.tracked == nil {
			conn.removeClosed()
		} else {
			_ = conn.tracked.Close()
		}
		return nil, err
	}
	conn.ClientConn = clientConn
	return conn, nil
}

// returnToPool makes the connection available for the next exchange.
func (c *pooledConn) returnToPool() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = time.Now()
	c.idleTimer = time.AfterFunc(maxIdleTime, c.closeIfIdle)
	p.idleConns = append(p.idleConns, c)
	p.wakeWaiters()
}

func (c *pooledConn) closeIfIdle() {
	if c.pool.removeIdleConn(c) {
		_ = c.Close()
	}
}

// removeClosed forgets a connection that was closed.
func (c *pooledConn) removeClosed() {
	p := c.pool
	p.removeIdleConn(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	p.wakeWaiters()
}

// removeIdleConn takes l out of the idle connections and reports whether it was one.
func (p *connPool) removeIdleConn(conn *pooledConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.idleConns {
		if p.idleConns[i] == conn {
			p.idleConns = append(p.idleConns[:i], p.idleConns[i+1:]...)
			conn.idleTimer.Stop()
			return true
		}
	}
	return false
}

// closeIdleConns closes the idle connections that were last used before before.
func (p *connPool) closeIdleConns(cutoff time.Time) {
	p.mu.Lock()
	var closing, kept []*pooledConn
	for _, conn := range p.idleConns {
		if conn.lastUsed.Before(cutoff) {
			closing = append(closing, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	p.idleConns = kept
	p.mu.Unlock()
	for _, conn := range closing {
		conn.idleTimer.Stop()
		_ = conn.Close()
	}
}

// wakeWaiters wakes all calls that wait; p.mu is held.
func (p *connPool) wakeWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *connPool) hasNoConns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns == 0
}

func (p *connPool) hasRecentExchange(maxAge time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleCount := len(p.idleConns)
	return p.openConns > idleCount || idleCount > 0 && time.Since(p.idleConns[idleCount-1].lastUsed) <= maxAge
}
