package connector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// endpoint is the cache entry for one peer address: the session in use, the dial
// in progress and the backoff after failed dials.
type endpoint struct {
	connector *Connector
	addr      netip.AddrPort

	mu       sync.Mutex
	current  *session
	dialing  *dialAttempt
	failures int
	nextDial time.Time // End of the backoff; sessionOrDial starts no dial before.
	lastErr  error
}

// dialAttempt is a dial in progress, whose result concurrent callers share. The
// fields session and err are set before done is closed.
type dialAttempt struct {
	endpoint *endpoint
	done     chan struct{}
	session  *session
	err      error
}

// sessionOrDial returns the cached session if it is open, and otherwise dials.
// During backoff it returns the error of the last dial.
func (e *endpoint) sessionOrDial(ctx context.Context) (*session, error) {
	e.mu.Lock()
	if e.current != nil && !e.current.mux.IsClosed() {
		defer e.mu.Unlock()
		return e.current, nil
	}
	if e.dialing == nil && time.Now().Before(e.nextDial) {
		defer e.mu.Unlock()
		return nil, errors.Wrapf(ErrDial, "%s: no dial during backoff after %d failed dials: %v", e.addr, e.failures, e.lastErr)
	}
	a, err := e.startOrJoinDial()
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.waitForSession(ctx)
}

// dialAnew dials although a session may be cached. It waits for the dial in
// progress if there is one.
func (e *endpoint) dialAnew(ctx context.Context) (*session, error) {
	e.mu.Lock()
	a, err := e.startOrJoinDial()
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.waitForSession(ctx)
}

// startOrJoinDial returns the dial in progress and starts one if there is none.
// The caller holds e.mu.
func (e *endpoint) startOrJoinDial() (*dialAttempt, error) {
	if e.dialing == nil {
		if !e.connector.addTask() {
			return nil, ErrClosed
		}
		e.dialing = &dialAttempt{endpoint: e, done: make(chan struct{})}
		go e.dialing.dialAndServe()
	}
	return e.dialing, nil
}

// waitForSession waits for the result of the dial, or until ctx is done.
func (d *dialAttempt) waitForSession(ctx context.Context) (*session, error) {
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrDial, "%s: %v", d.endpoint.addr, ctx.Err())
	}
}

// dialAndServe dials and caches the new session, or starts a backoff if the dial
// failed. It then serves the streams of the session until the session ends.
func (d *dialAttempt) dialAndServe() {
	e := d.endpoint
	co := e.connector
	defer co.tasks.Done()
	d.session, d.err = co.dialPeer(e.addr)
	e.mu.Lock()
	e.dialing = nil
	e.lastErr = d.err
	if d.err == nil {
		if e.current != nil {
			e.current.replaced.Store(true)
		}
		e.current, e.failures, e.nextDial = d.session, 0, time.Time{}
	} else {
		e.failures++
		e.nextDial = time.Now().Add(co.backoffDelay(e.failures))
	}
	e.mu.Unlock()
	close(d.done)
	if d.err != nil {
		co.reportLostPeer(e.addr, d.err)
		return
	}
	d.session.serveStreams()
}

// cacheAccepted caches the accepted session s if no open session is cached or if
// the peer's process started later than that of the cached session's peer.
func (e *endpoint) cacheAccepted(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.current; c == nil || c.mux.IsClosed() || s.peerHello.Incarnation > c.peerHello.Incarnation {
		e.current, e.failures, e.nextDial = s, 0, time.Time{}
	}
}

// dropSession removes s from the cache.
func (e *endpoint) dropSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == s {
		e.current = nil
	}
}

// isUnused reports whether e can be removed: it has no session and no dial in
// progress, and its backoff ended at least MaxBackoff ago.
func (e *endpoint) isUnused(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current == nil && e.dialing == nil && now.After(e.nextDial.Add(e.connector.MaxBackoff))
}

// dialPeer connects to peer and exchanges Hello messages.
func (co *Connector) dialPeer(peer netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(co.ctx, co.DialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1} // TCP keepalive is off; yamux sends pings.
	conn, err := dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%v", err)
	}
	s, err := co.newDialedSession(conn, peer)
	if err != nil {
		return nil, errors.WithMessage(err, peer.String())
	}
	return s, nil
}
