package breaker

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Breaker forwards connections to Target, which is set before Start.
type Breaker struct {
	Target  netip.AddrPort
	Blocked atomic.Bool // Blocked makes each new connection silent from its start.
	// Delay holds up what is forwarded, in nanoseconds for each read.
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

// Silence stops forwarding on all present connections, without closing them,
// and returns how many there were. Later connections work.
func (p *Breaker) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropAll.Store(true)
	}
	return len(p.conns)
}

// Mute drops what comes back on all present connections, which stay open and
// keep forwarding the other way.
func (p *Breaker) Mute() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropResponses.Store(true)
	}
}

// Block separates the two sides: present and new connections are silent.
func (p *Breaker) Block() {
	p.Blocked.Store(true)
	p.Silence()
}

// Heal closes the silent connections and lets new ones work.
func (p *Breaker) Heal() {
	p.Blocked.Store(false)
	p.Cut()
}

// Cut closes all present connections.
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
