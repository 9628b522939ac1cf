package linker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// endpoint caches the session to one address.
type endpoint struct {
	linker *Linker
	addr   netip.AddrPort

	mu       sync.Mutex
	current  *session
	dialing  *dialAttempt
	failures int
	nextDial time.Time // No dial before this time.
	lastErr  error
}

// dialAttempt is a dial that concurrent callers share. Its result is set before
// done is closed.
type dialAttempt struct {
	endpoint *endpoint
	done     chan struct{}
	session  *session
	err      error
}

// sessionOrDial returns the cached session or dials; during backoff it returns the
// last error.
func (e *endpoint) sessionOrDial(ctx context.Context) (*session, error) {
	e.mu.Lock()
	if e.current != nil && !e.current.mux.IsClosed() {
		defer e.mu.Unlock()
		return e.current, nil
	}
	if e.dialing == nil && time.Now().Before(e.nextDial) {
		defer e.mu.Unlock()
		return nil, errors.Wrapf(ErrDial, "%s: pause after %d failed dials: %v", e.addr, e.failures, e.lastErr)
	}
	a, err := e.startOrJoinDial()
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.waitForSession(ctx)
}

// dialAnew connects anew, or joins a dial that is in progress.
func (e *endpoint) dialAnew(ctx context.Context) (*session, error) {
	e.mu.Lock()
	a, err := e.startOrJoinDial()
	e.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.waitForSession(ctx)
}

// startOrJoinDial returns the dial in progress and starts one if there is none. The
// caller holds k.mu.
func (e *endpoint) startOrJoinDial() (*dialAttempt, error) {
	if e.dialing == nil {
		if !e.linker.addTask() {
			return nil, ErrClosed
		}
		e.dialing = &dialAttempt{endpoint: e, done: make(chan struct{})}
		go e.dialing.dialAndServe()
	}
	return e.dialing, nil
}

func (d *dialAttempt) waitForSession(ctx context.Context) (*session, error) {
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrDial, "%s: %v", d.endpoint.addr, ctx.Err())
	}
}

// dialAndServe dials and, on success, serves the session.
func (d *dialAttempt) dialAndServe() {
	e := d.endpoint
	l := e.linker
	defer l.tasks.Done()
	d.session, d.err = l.dialPeer(e.addr)
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
		e.nextDial = time.Now().Add(l.backoffDelay(e.failures))
	}
	e.mu.Unlock()
	close(d.done)
	if d.err != nil {
		l.reportLostPeer(e.addr, d.err)
		return
	}
	d.session.serveStreams()
}

// cacheAccepted caches an accepted session when there is none, or when it comes from a
// later process than the cached one.
func (e *endpoint) cacheAccepted(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.current; c == nil || c.mux.IsClosed() || s.peerHello.Incarnation > c.peerHello.Incarnation {
		e.current, e.failures, e.nextDial = s, 0, time.Time{}
	}
}

// dropSession forgets s.
func (e *endpoint) dropSession(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == s {
		e.current = nil
	}
}

// isUnused reports whether k holds neither a session, a dial nor a recent failure.
func (e *endpoint) isUnused(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current == nil && e.dialing == nil && now.After(e.nextDial.Add(e.linker.Backoff))
}

// dialPeer connects to peer and exchanges Hello.
func (l *Linker) dialPeer(peer netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.Dial)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1} // yamux pings.
	conn, err := dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%v", err)
	}
	s, err := l.newDialedSession(conn, peer)
	if err != nil {
		return nil, errors.WithMessage(err, peer.String())
	}
	return s, nil
}
