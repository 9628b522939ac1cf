package injector

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Proxy is a TCP proxy to Target. It can silence, delay and close all connections
// that it forwards. The exported fields that are not atomic are set before Start.
// A silent connection stays open, but the bytes that arrive on it are dropped.
type Proxy struct {
	Target     netip.AddrPort
	SilenceNew atomic.Bool // New connections are silent from the start.
	// ReadDelayNanos is the delay between each read and the write that forwards it.
	ReadDelayNanos atomic.Int64

	listener net.Listener
	mu       sync.Mutex
	conns    map[*proxiedConn]struct{}
}

// Start listens on a free loopback port and returns its address.
func (p *Proxy) Start() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "breaker")
	}
	p.listener, p.conns = listener, make(map[*proxiedConn]struct{})
	go p.acceptConns()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes the listener and all connections.
func (p *Proxy) Stop() {
	_ = p.listener.Close()
	p.CloseConns()
}

// SilenceConns makes all open connections silent in both directions and returns their
// number. New connections are forwarded as usual.
func (p *Proxy) SilenceConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropAll.Store(true)
	}
	return len(p.conns)
}

// DropRequests drops the bytes to Target on all open connections. Bytes from Target are
// still forwarded, and new connections are forwarded as usual.
func (p *Proxy) DropRequests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropRequests.Store(true)
	}
}

// DroppingConns returns the number of open connections that DropRequests was called for.
func (p *Proxy) DroppingConns() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.dropRequests.Load() {
			n++
		}
	}
	return n
}

// DropResponses drops the bytes from Target on all open connections. Bytes to Target are
// still forwarded.
func (p *Proxy) DropResponses() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropResponses.Store(true)
	}
}

// StartPartition makes all open and new connections silent, as in a network partition.
func (p *Proxy) StartPartition() {
	p.SilenceNew.Store(true)
	p.SilenceConns()
}

// EndPartition closes all open connections and forwards new ones as usual.
func (p *Proxy) EndPartition() {
	p.SilenceNew.Store(false)
	p.CloseConns()
}

// CloseConns closes all open connections.
func (p *Proxy) CloseConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

func (p *Proxy) acceptConns() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &proxiedConn{proxy: p, caller: caller}
		c.dropAll.Store(p.SilenceNew.Load())
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go c.forward()
	}
}

func (p *Proxy) removeConn(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
