package linker

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// maxHello is the largest Hello in bytes. Nothing else is read from a peer
// before its version is known.
const maxHello = 1024

// session is one yamux session; it serves streams of both sides.
type session struct {
	linker *Linker
	mux    *yamux.Session
	conn   *conn
	from   Hello
	peer   netip.AddrPort // Address that was dialed, or that the peer announced.
	dialed bool

	streams atomic.Int64
	last    atomic.Int64 // Time of the last opened or closed stream, in nanoseconds since 1970.
	ended   atomic.Bool  // Closed on purpose.

	replaced atomic.Bool // A later dial took its place in the cache.
}

// connect makes a session on a connection that this side dialed.
func (l *Linker) connect(raw net.Conn, peer netip.AddrPort) (*session, error) {
	_ = raw.SetDeadline(time.Now().Add(l.Dial))
	s := &session{linker: l, peer: peer, dialed: true, conn: &conn{raw: raw, total: &l.wire}}
	s.conn.Conn = net.Conn(&countedConn{raw, s.conn})
	if !l.Plain {
		c := tls.Client(s.conn.Conn, l.keys.client())
		if err := c.Handshake(); err != nil {
			_ = raw.Close()
			if errors.Is(err, ErrRefused) {
				l.refuse(peer.String(), err)
			}
			return nil, errors.Wrapf(ErrDial, "tls: %v", err)
		}
		s.conn.Conn = c
	}
	var err error
	if s.mux, err = yamux.Client(s.conn, l.config); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "session")
	}
	st, err := s.mux.OpenStream()
	if err != nil {
		_ = s.mux.Close()
		return nil, errors.Wrapf(ErrDial, "hello: %v", err)
	}
	return s, s.admit(st, true)
}

// accept makes a session on a connection that a peer dialed.
func (l *Linker) accept(raw net.Conn) (*session, error) {
	_ = raw.SetDeadline(time.Now().Add(l.Dial))
	s := &session{linker: l, conn: &conn{raw: raw, total: &l.wire}}
	s.conn.Conn = net.Conn(&countedConn{raw, s.conn})
	if !l.Plain {
		c := tls.Server(s.conn.Conn, l.keys.server())
		if err := c.Handshake(); err != nil {
			_ = raw.Close()
			return nil, errors.Wrapf(ErrRefused, "tls: %v", err)
		}
		s.conn.Conn = c
	}
	var err error
	if s.mux, err = yamux.Server(s.conn, l.config); err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "session")
	}
	st, err := s.mux.AcceptStream()
	if err != nil {
		_ = s.mux.Close()
		return nil, errors.Wrapf(ErrRefused, "hello: %v", err)
	}
	return s, s.admit(st, false)
}

// admit exchanges Hello on the first stream and registers the session. Each
// side sends its Hello before it judges the other's, so that both can name the
// reason of a refusal.
func (s *session) admit(st *yamux.Stream, first bool) error {
	l := s.linker
	_ = st.SetDeadline(time.Now().Add(l.Dial))
	err := s.exchange(st, first)
	if err == nil && s.from.Version != l.Version {
		err = errors.Wrapf(ErrRefused, "version %d of instance %q, want %d", s.from.Version, s.from.Name, l.Version)
	}
	if err == nil {
		_ = s.conn.raw.SetDeadline(time.Time{})
		s.last.Store(time.Now().UnixNano())
		if !first {
			s.peer = s.from.Peer
		}
		l.mu.Lock()
		if l.closed {
			err = ErrClosed
		} else {
			l.sessions[s] = struct{}{}
		}
		l.mu.Unlock()
	}
	if err != nil {
		if first && errors.Is(err, ErrRefused) && l.ctx.Err() == nil {
			l.refuse(s.peer.String(), err)
		}
		_ = st.Close()
		_ = s.mux.Close()
		return err
	}
	return errors.Wrap(st.Close(), "hello")
}

func (s *session) exchange(st *yamux.Stream, first bool) error {
	l := s.linker
	own := Hello{
		Version: l.Version, Name: l.Name, Incarnation: l.Incarnation, Zone: l.Zone, Region: l.Region, Peer: l.Addr(),
	}
	if own.Peer.Addr().IsUnspecified() {
		own.Peer = netip.AddrPort{}
	}
	if first {
		if err := messenger.Write(st, own.message()); err != nil {
			return errors.Wrapf(ErrDial, "hello: %v", err)
		}
	}
	m := new(messenger.Hello)
	err := messenger.ReadLimit(bufio.NewReaderSize(st, maxHello), m, maxHello)
	if err == nil {
		s.from, err = parseHello(m)
	}
	if err == nil && !first {
		// A peer that refuses this version may end the session before the write
		// returns; the version then stays the reason.
		if err = messenger.Write(st, own.message()); s.from.Version != l.Version {
			err = nil
		}
	}
	switch {
	case err == nil:
		return nil
	case first && s.mux.IsClosed():
		_, cause := s.mux.AcceptStream() // Returns why the session ended, for example the alert of TLS.
		return errors.Wrapf(ErrDial, "hello: %v", cause)
	case first && !errors.Is(err, messenger.ErrFrame):
		return errors.Wrapf(ErrDial, "hello: %v", err)
	}
	return errors.Wrapf(ErrRefused, "hello: %v", err)
}

// loop serves the streams that the peer opens until the session ends.
func (s *session) loop() {
	l := s.linker
	var err error
	for {
		var st *yamux.Stream
		if st, err = s.mux.AcceptStream(); err != nil {
			break
		}
		if !l.start() {
			err = ErrClosed
			break
		}
		go s.wrap(st).run()
	}
	idle := s.streams.Load() == 0 && s.idle(time.Now()) > l.Idle/2
	_ = s.mux.Close()
	l.mu.Lock()
	delete(l.sessions, s)
	k := l.links[s.peer]
	l.mu.Unlock()
	if k != nil {
		k.drop(s)
	}
	if s.peer.IsValid() && !idle && !s.ended.Load() {
		l.lost(s.peer, errors.Wrapf(err, "session with instance %q", s.from.Name))
	}
}

// idle returns for how long the session had no stream.
func (s *session) idle(now time.Time) time.Duration {
	if s.streams.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.last.Load()))
}

// opening is the opening of one stream.
type opening struct {
	sess *session
	kind Kind
	done chan struct{}
	st   *Stream
	err  error
}

// open opens a stream. yamux can block until the session fails, so it waits in
// a goroutine of its own.
func (s *session) open(ctx context.Context, k Kind) (*Stream, error) {
	o := &opening{sess: s, kind: k, done: make(chan struct{})}
	if !s.linker.start() {
		return nil, ErrClosed
	}
	go o.run(ctx)
	select {
	case <-o.done:
		return o.st, o.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (o *opening) run(ctx context.Context) {
	defer o.sess.linker.tasks.Done()
	defer close(o.done)
	st, err := o.sess.mux.OpenStream()
	if err != nil {
		o.err = err
		return
	}
	o.st = o.sess.wrap(st)
	o.st.setKind(o.kind)
	if _, o.err = st.Write([]byte{byte(o.kind)}); o.err == nil {
		o.err = ctx.Err()
	}
	if o.err != nil {
		_ = o.st.Close()
		o.st = nil
	}
}
