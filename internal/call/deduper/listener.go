package deduper

import (
	"net"
	"net/netip"
	"sync"
)

// listener is a net.Listener of streams that are handed over by serve.
type listener struct {
	addr      net.Addr
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func (l *listener) setup(addr netip.AddrPort) {
	l.addr, l.conns, l.done = net.TCPAddrFromAddrPort(addr), make(chan net.Conn), make(chan struct{})
}

// Accept returns the next stream.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.stop()
	return nil
}

func (l *listener) stop() { l.closeOnce.Do(func() { close(l.done) }) }

// Addr returns the peer address of the instance.
func (l *listener) Addr() net.Addr { return l.addr }

// serveConn hands over conn and returns when it is closed.
func (l *listener) serveConn(conn net.Conn) {
	s := &trackedStream{Conn: conn, closed: make(chan struct{})}
	select {
	case l.conns <- s:
		<-s.closed
	case <-l.done:
		_ = conn.Close()
	}
}

// trackedStream tells when it is closed.
type trackedStream struct {
	net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Close closes the stream.
func (s *trackedStream) Close() error {
	err := s.Conn.Close()
	s.closeOnce.Do(func() { close(s.closed) })
	return err
}
