package sender

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

const (
	dialTimeout = time.Second
	// maxFreshIdleTime is the longest idle time of a connection that is reused
	// for a non-idempotent call or an attempt with RequireFreshConn. A connection
	// that has been idle for longer may be silent.
	maxFreshIdleTime = time.Second
	// maxIdleTime is the longest idle time of a connection that is reused for an
	// idempotent call or a probe. Common servers close idle connections after 60 s
	// or more.
	maxIdleTime = 30 * time.Second
	// maxResponseHeaderBytes limits the header of a response, and also how much of
	// the body of a probe response is read.
	maxResponseHeaderBytes = 64 << 10
	// continueTimeout is the longest wait for 100 Continue; RFC 9110 section
	// 10.1.1 requires the body to be sent eventually without it.
	continueTimeout = time.Second
	// maxRefusedIDs bounds the memory of a connection and the time to search it; a
	// refusal then costs less than 2% of a new connection.
	maxRefusedIDs = 64
	// freshCallsAfterForeign is the number of non-idempotent calls that use new
	// connections after a response to another call, which costs such a call its
	// response. These connections together cost about as much as one call.
	freshCallsAfterForeign = 20
)

// pooledConn is one connection to a backend server, in use or idle in its pool.
type pooledConn struct {
	*http.ClientConn
	tracked   *trackedConn
	pool      *connPool
	lifetime  withholder.Lifetime // Process that had the address when the connection was opened.
	idleTimer *time.Timer         // Calls closeIfIdle; set while the connection is in the pool.
	lastUsed  time.Time           // End of the last exchange; zero for a new connection.
	// refusedIDs are the IDs of the calls that were refused on the connection, at
	// most maxRefusedIDs.
	refusedIDs []string
}

// connPool holds the connections to one backend server.
type connPool struct {
	server netip.AddrPort

	mu        sync.Mutex
	openConns int           // Dialing, in use or idle.
	idleConns []*pooledConn // Most recently used last.
	changed   chan struct{} // Closed and replaced when a connection becomes idle or is closed.
	// freshCalls is the number of the next non-idempotent calls that use new
	// connections.
	freshCalls int
}

// pooledConnKey is the context key of the pooledConn that is being dialed.
type pooledConnKey struct{}

// dialTracked is the DialContext function of the transport. It sets the
// trackedConn of the pooledConn in ctx.
func dialTracked(ctx context.Context, network, addr string) (net.Conn, error) {
	netConn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := ctx.Value(pooledConnKey{}).(*pooledConn)
	conn.tracked = &trackedConn{Conn: netConn, onReusable: conn.returnToPool, onClosed: conn.removeClosed}
	return conn.tracked, nil
}

// ErrWithheld reports that nothing was sent because the backend server is withheld or its
// availability zone is evacuated.
var ErrWithheld = errors.New("the backend server must get no calls")

// connRequest describes the connection that acquireConn returns.
type connRequest struct {
	lifetime   withholder.Lifetime
	maxIdle    time.Duration // Longest idle time; 0 requires a new connection.
	limit      int           // Most connections that may be open.
	requestID  string        // ID of a call that was not refused on the connection; may be empty.
	zone       string        // Availability zone of the backend server.
	withholder *withholder.Withholder
	sendBy     time.Time // Latest time of use; zero means any time.
	// awaitRecords is Sender.AwaitRecords.
	awaitRecords func(ctx context.Context) bool
}

func (r *connRequest) isWithheld() bool {
	return r.isLate() || r.withholder.IsEvacuated(r.zone) || r.withholder.IsWithheld(time.Now(), r.lifetime)
}

// isLate reports whether the time of use has passed.
func (r *connRequest) isLate() bool { return !r.sendBy.IsZero() && time.Now().After(r.sendBy) }

// acquireConn returns an idle connection that suits r, or a new one. It waits while
// limit connections are open and none of them is idle. The error is ErrWithheld as soon
// as the backend server is withheld.
func (p *connPool) acquireConn(ctx context.Context, transport *http.Transport, r connRequest) (*pooledConn, error) {
	conn, err := p.awaitConn(ctx, transport, &r)
	if err == nil && r.awaitRecords != nil && !r.awaitRecords(ctx) {
		_ = conn.Close()
		return nil, ErrWithheld
	}
	if err == nil && (r.isLate() || r.withholder.IsEvacuated(r.zone) || !r.withholder.TryStart(time.Now(), r.lifetime)) {
		_ = conn.Close()
		return nil, ErrWithheld
	}
	return conn, err
}

// awaitConn is acquireConn without the last check that the server is not withheld.
func (p *connPool) awaitConn(ctx context.Context, transport *http.Transport, r *connRequest) (*pooledConn, error) {
	for {
		if r.isWithheld() {
			return nil, ErrWithheld
		}
		conn, stale, wait := p.tryAcquireConn(r)
		if stale != nil {
			_ = stale.Close()
			continue
		}
		if conn != nil {
			return conn, nil
		}
		if wait == nil {
			return p.dialConn(ctx, transport, r.lifetime)
		}
		if err := p.awaitChange(ctx, wait, r); err != nil {
			return nil, err
		}
	}
}

// awaitChange returns when wait is closed or a statement of a backend server changes. The
// error is ErrWithheld when the time of use passes before.
func (p *connPool) awaitChange(ctx context.Context, wait <-chan struct{}, r *connRequest) error {
	statements := r.withholder.Changed()
	if r.isWithheld() {
		return ErrWithheld
	}
	var late <-chan time.Time
	if !r.sendBy.IsZero() {
		t := time.NewTimer(time.Until(r.sendBy))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-wait:
	case <-statements:
	case <-late:
		return ErrWithheld
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// tryAcquireConn returns one of: a usable idle connection, a stale idle
// connection that must be closed because it leads to another process or to stay
// within the limit, a channel to wait on, or three nil values when the caller must
// dial a connection, which is then already counted in openConns.
func (p *connPool) tryAcquireConn(r *connRequest) (conn, stale *pooledConn, wait <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, conn := range slices.Backward(p.idleConns) {
		if conn.lifetime != r.lifetime {
			return nil, p.takeIdleConn(i), nil
		}
		if conn.Err() != nil || time.Since(conn.lastUsed) > r.maxIdle {
			break
		}
		if !slices.Contains(conn.refusedIDs, r.requestID) {
			return p.takeIdleConn(i), nil, nil
		}
	}
	if len(p.idleConns) > 0 && p.openConns >= r.limit {
		return nil, p.takeIdleConn(0), nil
	}
	if p.openConns < r.limit {
		p.openConns++
		return nil, nil, nil
	}
	return nil, nil, p.changed
}

// takeIdleConn removes the idle connection at index i from the pool. p.mu must be held.
func (p *connPool) takeIdleConn(i int) *pooledConn {
	conn := p.idleConns[i]
	p.idleConns = slices.Delete(p.idleConns, i, i+1)
	conn.idleTimer.Stop()
	return conn
}

// dialConn opens a connection that tryAcquireConn has counted in openConns. When
// that fails, it is no longer counted.
func (p *connPool) dialConn(ctx context.Context, transport *http.Transport, lifetime withholder.Lifetime) (*pooledConn, error) {
	conn := &pooledConn{pool: p, lifetime: lifetime}
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

// returnToPool adds the connection to the idle connections of its pool.
func (c *pooledConn) returnToPool() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsed = time.Now()
	c.idleTimer = time.AfterFunc(maxIdleTime, c.closeIfIdle)
	p.idleConns = append(p.idleConns, c)
	p.wakeWaiters()
}

// closeIfIdle closes the connection unless an exchange has acquired it.
func (c *pooledConn) closeIfIdle() {
	if c.pool.removeIdleConn(c) {
		_ = c.Close()
	}
}

// afterRefusal returns the function that ends an exchange in which the backend
// server answered m, a refusal. The connection is reused only when the refusal
// names its call, and then not for that call: a copy of the refusal that arrives
// later is otherwise not distinguishable from the answer to another exchange.
func (c *pooledConn) afterRefusal(m *translator.ResponseMetadata) (endExchange func()) {
	if m.RequestID == "" || len(c.refusedIDs) == maxRefusedIDs {
		return func() { _ = c.Close() }
	}
	c.refusedIDs = append(c.refusedIDs, m.RequestID)
	return c.tracked.endExchange
}

// closeAsForeign closes the connection after a response to another call.
func (c *pooledConn) closeAsForeign() {
	c.pool.mu.Lock()
	c.pool.freshCalls = freshCallsAfterForeign
	c.pool.mu.Unlock()
	_ = c.Close()
}

// takeFreshCall reports whether the next non-idempotent call must use a new
// connection.
func (p *connPool) takeFreshCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freshCalls == 0 {
		return false
	}
	p.freshCalls--
	return true
}

// removeClosed removes a closed connection from its pool.
func (c *pooledConn) removeClosed() {
	p := c.pool
	p.removeIdleConn(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
	p.wakeWaiters()
}

// removeIdleConn removes conn from the idle connections and reports whether it
// was one of them.
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

// closeIdleConns closes the idle connections that were last used before cutoff.
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

// wakeWaiters wakes all callers of acquireConn that wait. p.mu must be held.
func (p *connPool) wakeWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *connPool) hasNoConns() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns == 0
}

// countInUse returns the number of open connections that are not idle.
func (p *connPool) countInUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns - len(p.idleConns)
}

// hasRecentExchange reports whether a connection is in use or was used within
// maxAge.
func (p *connPool) hasRecentExchange(maxAge time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idleCount := len(p.idleConns)
	return p.openConns > idleCount || idleCount > 0 && time.Since(p.idleConns[idleCount-1].lastUsed) <= maxAge
}
