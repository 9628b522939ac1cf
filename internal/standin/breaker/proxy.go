package breaker

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Breaker is a TCP proxy to Target. It can silence, delay and close all connections
// that it forwards. The exported fields that are not atomic are set before Start.
// A silent connection stays open, but the bytes that arrive on it are dropped.
type Breaker struct {
	Target  netip.AddrPort
	Blocked atomic.Bool // New connections are silent from the start.
	// Delay between each read and the write that forwards it, in nanoseconds.
	Delay atomic.Int64

	listener net.Listener
	mu       sync.Mutex
	conns    map[*proxiedConn]struct{}
}

// Start listens on a free loopback port and returns its address.
func (p *Breaker) Start() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "breaker")
	}
	p.listener, p.conns = listener, make(map[*proxiedConn]struct{})
	go p.acceptConns()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes the listener and all connections.
func (p *Breaker) Stop() {
	_ = p.listener.Close()
	p.Cut()
}

// Silence makes all open connections silent in both directions and returns their
// number. New connections are forwarded as usual.
func (p *Breaker) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropAll.Store(true)
	}
	return len(p.conns)
}

// Mute drops the bytes from Target on all open connections. Bytes to Target are
// still forwarded.
func (p *Breaker) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropResponses.Store(true)
	}
}

// Block makes all open and new connections silent, as in a network partition.
func (p *Breaker) Block() {
	p.Blocked.Store(true)
	p.Silence()
}

// Heal closes all open connections and forwards new ones as usual.
func (p *Breaker) Heal() {
	p.Blocked.Store(false)
	p.Cut()
}

// Cut closes all open connections.
func (p *Breaker) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.close()
	}
}

func (p *Breaker) acceptConns() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		c := &proxiedConn{proxy: p, caller: caller}
		c.dropAll.Store(p.Blocked.Load())
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go c.forward()
	}
}

func (p *Breaker) removeConn(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
