package injector

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// FaultKind is what happens to a connection once the bytes that a Fault lets pass are
// forwarded.
type FaultKind uint8

// Kinds of faults.
const (
	NoFault        FaultKind = iota // No fault.
	ResetConn                       // The connection is reset in both directions.
	HoldBytes                       // Bytes are held back and the connection stays open, until Resume is closed.
	DuplicateReads                  // The bytes of each read from the backend server are written twice, in one write.
)

// Fault applies to connections that are accepted while it is set. ResetConn and
// HoldBytes take effect on arrival of the first byte after those that pass.
type Fault struct {
	Kind          FaultKind
	RequestBytes  int // Bytes from the caller that pass before the fault; a negative number means all.
	ResponseBytes int // Bytes from the backend server that pass before the fault; a negative number means all.
}

// FaultInjector is a TCP proxy to a backend server. It applies the Fault that was set
// last to each new connection; without one it forwards all bytes.
type FaultInjector struct {
	ServerAddr netip.AddrPort
	// Closing this channel forwards the bytes that HoldBytes held back, and all later ones.
	Resume chan struct{}

	fault    atomic.Pointer[Fault]
	listener net.Listener
}

// SetFault applies fault to the connections that are accepted from now on.
func (i *FaultInjector) SetFault(fault Fault) { i.fault.Store(&fault) }

// Start listens on a free loopback port and returns its address.
func (i *FaultInjector) Start() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "injector")
	}
	i.listener = listener
	go i.acceptConns()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes the listener. Open connections are still forwarded.
func (i *FaultInjector) Stop() { _ = i.listener.Close() }

func (i *FaultInjector) acceptConns() {
	for {
		caller, err := i.listener.Accept()
		if err != nil {
			return
		}
		fault := Fault{}
		if set := i.fault.Load(); set != nil {
			fault = *set
		}
		server, err := net.Dial("tcp", i.ServerAddr.String())
		if err != nil {
			_ = caller.Close()
			continue
		}
		p := &connPair{caller: caller.(*net.TCPConn), server: server.(*net.TCPConn), fault: fault, resume: i.Resume}
		go p.forward(p.server, p.caller, fault.RequestBytes, false)
		go p.forward(p.caller, p.server, fault.ResponseBytes, fault.Kind == DuplicateReads)
	}
}

// connPair is the two connections of one caller through a FaultInjector.
type connPair struct {
	caller, server *net.TCPConn
	fault          Fault
	resume         chan struct{}
	closeOnce      sync.Once
}

// forward copies from src to dst until one side closes. When the fault is ResetConn
// or HoldBytes, it applies the fault after byteCount bytes unless that is negative.
// With duplicate set, it writes the bytes of each read twice.
func (p *connPair) forward(dst, src *net.TCPConn, byteCount int, duplicate bool) {
	defer p.closeOnce.Do(p.close)
	faulty := p.fault.Kind == ResetConn || p.fault.Kind == HoldBytes
	if faulty && byteCount >= 0 {
		if _, err := io.CopyN(dst, src, int64(byteCount)); err != nil {
			return
		}
		heldByte := make([]byte, 1)
		if _, err := io.ReadFull(src, heldByte); err != nil {
			return
		}
		if p.fault.Kind == ResetConn {
			_ = p.caller.SetLinger(0)
			_ = p.server.SetLinger(0)
			return
		}
		<-p.resume
		if _, err := dst.Write(heldByte); err != nil {
			return
		}
	}
	p.copy(dst, src, duplicate)
}

// copy forwards all bytes until one side closes; with duplicate set, it writes
// the bytes of each read twice.
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
