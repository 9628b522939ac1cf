package breaker

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Kind says what happens after the bytes that a Fault lets pass.
type Kind uint8

// The kinds of faults.
const (
	Pass   Kind = iota // No fault.
	Reset              // The connection is reset in both directions.
	Silent             // No more bytes pass; the connection stays open.
	Twice              // Each read from the backend server is written twice, in one write.
)

// Fault applies to connections that are accepted while it is set. It happens
// when the byte after those that pass arrives; that byte does not pass.
type Fault struct {
	Kind Kind
	Up   int // Bytes from the caller that pass before a fault; below 0 means all.
	Down int // Bytes from the backend server that pass before a fault; below 0 means all.
}

// Injector forwards connections to Server; the zero fault passes everything.
type Injector struct {
	Server netip.AddrPort
	// Release ends the silence of silent connections: what they held back passes.
	Release chan struct{}

	fault    atomic.Pointer[Fault]
	listener net.Listener
}

// Set applies f to the connections accepted from now on.
func (b *Injector) Set(f Fault) { b.fault.Store(&f) }

// Start listens on loopback and returns the address.
func (b *Injector) Start() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "injector")
	}
	b.listener = l
	go b.run()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes the listener; further connections are refused.
func (b *Injector) Stop() { _ = b.listener.Close() }

func (b *Injector) run() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		f := Fault{}
		if set := b.fault.Load(); set != nil {
			f = *set
		}
		s, err := net.Dial("tcp", b.Server.String())
		if err != nil {
			_ = c.Close()
			continue
		}
		p := &pair{caller: c.(*net.TCPConn), server: s.(*net.TCPConn), fault: f, release: b.Release}
		go p.run(p.server, p.caller, f.Up, false)
		go p.run(p.caller, p.server, f.Down, f.Kind == Twice)
	}
}

// pair is a connection through an Injector.
type pair struct {
	caller, server *net.TCPConn
	fault          Fault
	release        chan struct{}
	once           sync.Once
}

// run copies from src to dst until the fault or the end.
func (p *pair) run(dst, src *net.TCPConn, limit int, twice bool) {
	defer p.once.Do(p.close)
	faulty := p.fault.Kind == Reset || p.fault.Kind == Silent
	if faulty && limit >= 0 {
		if _, err := io.CopyN(dst, src, int64(limit)); err != nil {
			return
		}
		held := make([]byte, 1)
		if _, err := io.ReadFull(src, held); err != nil {
			return
		}
		if p.fault.Kind == Reset {
			_ = p.caller.SetLinger(0)
			_ = p.server.SetLinger(0)
			return
		}
		<-p.release
		if _, err := dst.Write(held); err != nil {
			return
		}
	}
	p.copy(dst, src, twice)
}

func (p *pair) copy(dst, src *net.TCPConn, twice bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		out := buffer[:n]
		if twice {
			out = append(out[:n:n], out...)
		}
		if _, failed := dst.Write(out); err != nil || failed != nil {
			return
		}
	}
}

func (p *pair) close() {
	_ = p.caller.Close()
	_ = p.server.Close()
}
