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
func (i *Injector) Set(fault Fault) { i.fault.Store(&fault) }

// Start listens on loopback and returns the address.
func (i *Injector) Start() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "injector")
	}
	i.listener = listener
	go i.acceptConns()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes the listener; further connections are refused.
func (i *Injector) Stop() { _ = i.listener.Close() }

func (i *Injector) acceptConns() {
	for {
		caller, err := i.listener.Accept()
		if err != nil {
			return
		}
		fault := Fault{}
		if set := i.fault.Load(); set != nil {
			fault = *set
		}
		server, err := net.Dial("tcp", i.Server.String())
		if err != nil {
			_ = caller.Close()
			continue
		}
		p := &connPair{caller: caller.(*net.TCPConn), server: server.(*net.TCPConn), fault: fault, release: i.Release}
		go p.forward(p.server, p.caller, fault.Up, false)
		go p.forward(p.caller, p.server, fault.Down, fault.Kind == Twice)
	}
}

// connPair is a connection through an Injector.
type connPair struct {
	caller, server *net.TCPConn
	fault          Fault
	release        chan struct{}
	closeOnce      sync.Once
}

// forward copies from src to dst until the fault or the end.
func (p *connPair) forward(dst, src *net.TCPConn, byteCount int, duplicate bool) {
	defer p.closeOnce.Do(p.close)
	faulty := p.fault.Kind == Reset || p.fault.Kind == Silent
	if faulty && byteCount >= 0 {
		if _, err := io.CopyN(dst, src, int64(byteCount)); err != nil {
			return
		}
		heldByte := make([]byte, 1)
		if _, err := io.ReadFull(src, heldByte); err != nil {
			return
		}
		if p.fault.Kind == Reset {
			_ = p.caller.SetLinger(0)
			_ = p.server.SetLinger(0)
			return
		}
		<-p.release
		if _, err := dst.Write(heldByte); err != nil {
			return
		}
	}
	p.copy(dst, src, duplicate)
}

func (p *connPair) copy(dst, src *net.TCPConn, duplicate bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := src.Read(buffer)
		out := buffer[:n]
		if duplicate {
			out = append(out[:n:n], out...)
		}
		if _, writeErr := dst.Write(out); err != nil || writeErr != nil {
			return
		}
	}
}

func (p *connPair) close() {
	_ = p.caller.Close()
	_ = p.server.Close()
}
