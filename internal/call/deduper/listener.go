package deduper

import (
	"net"
	"net/netip"
	"sync"
)

// listener is a net.Listener that accepts the streams given to serveConn.
type listener struct {
	addr      net.Addr
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func (l *listener) setup(addr netip.AddrPort) {
	l.addr, l.conns, l.done = net.TCPAddrFromAddrPort(addr), make(chan net.Conn), make(chan struct{})
}

// Accept waits for the next stream and returns it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *listener) Close() error {
	l.stop()
	return nil
}

func (l *listener) stop() { l.closeOnce.Do(func() { close(l.done) }) }

// Addr returns the peer address of the instance.
func (l *listener) Addr() net.Addr { return l.addr }

// serveConn passes conn to Accept and returns when conn is closed. After Close it
// closes conn.
func (l *listener) serveConn(conn net.Conn) {
	s := &trackedStream{Conn: conn, closed: make(chan struct{})}
	select {
	case l.conns <- s:
		<-s.closed
	case <-l.done:
		_ = conn.Close()
	}
}

// trackedStream is a stream whose channel closed is closed by Close.
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
