package linker

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// link caches the session to one address.
type link struct {
	linker *Linker
	peer   netip.AddrPort

	mu      sync.Mutex
	current *session
	dialing *attempt
	fails   int
	next    time.Time // No dial before this time.
	last    error
}

// attempt is a dial that concurrent callers share. Its result is set before
// done is closed.
type attempt struct {
	link *link
	done chan struct{}
	sess *session
	err  error
}

// session returns the cached session or dials; during backoff it returns the
// last error.
func (k *link) session(ctx context.Context) (*session, error) {
	k.mu.Lock()
	if k.current != nil && !k.current.mux.IsClosed() {
		defer k.mu.Unlock()
		return k.current, nil
	}
	if k.dialing == nil && time.Now().Before(k.next) {
		defer k.mu.Unlock()
		return nil, errors.Wrapf(ErrDial, "%s: pause after %d failed dials: %v", k.peer, k.fails, k.last)
	}
	a, err := k.attempt()
	k.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.wait(ctx)
}

// dial connects anew, or joins a dial that is in progress.
func (k *link) dial(ctx context.Context) (*session, error) {
	k.mu.Lock()
	a, err := k.attempt()
	k.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.wait(ctx)
}

// attempt returns the dial in progress and starts one if there is none. The
// caller holds k.mu.
func (k *link) attempt() (*attempt, error) {
	if k.dialing == nil {
		if !k.linker.start() {
			return nil, ErrClosed
		}
		k.dialing = &attempt{link: k, done: make(chan struct{})}
		go k.dialing.run()
	}
	return k.dialing, nil
}

func (a *attempt) wait(ctx context.Context) (*session, error) {
	select {
	case <-a.done:
		return a.sess, a.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrDial, "%s: %v", a.link.peer, ctx.Err())
	}
}

// run dials and, on success, serves the session.
func (a *attempt) run() {
	k := a.link
	l := k.linker
	defer l.tasks.Done()
	a.sess, a.err = l.dial(k.peer)
	k.mu.Lock()
	k.dialing = nil
	k.last = a.err
	if a.err == nil {
		if k.current != nil {
			k.current.replaced.Store(true)
		}
		k.current, k.fails, k.next = a.sess, 0, time.Time{}
	} else {
		k.fails++
		k.next = time.Now().Add(l.pause(k.fails))
	}
	k.mu.Unlock()
	close(a.done)
	if a.err != nil {
		l.lost(k.peer, a.err)
		return
	}
	a.sess.loop()
}

// offer caches an accepted session when there is none, or when it comes from a
// later process than the cached one.
func (k *link) offer(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.current; c == nil || c.mux.IsClosed() || s.from.Incarnation > c.from.Incarnation {
		k.current, k.fails, k.next = s, 0, time.Time{}
	}
}

// drop forgets s.
func (k *link) drop(s *session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current == s {
		k.current = nil
	}
}

// empty reports whether k holds neither a session, a dial nor a recent failure.
func (k *link) empty(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.current == nil && k.dialing == nil && now.After(k.next.Add(k.linker.Backoff))
}

// dial connects to peer and exchanges Hello.
func (l *Linker) dial(peer netip.AddrPort) (*session, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.Dial)
	defer cancel()
	d := net.Dialer{KeepAlive: -1} // yamux pings.
	raw, err := d.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%v", err)
	}
	s, err := l.connect(raw, peer)
	if err != nil {
		return nil, errors.WithMessage(err, peer.String())
	}
	return s, nil
}
