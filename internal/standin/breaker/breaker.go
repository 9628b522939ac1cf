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
	links    map[*link]struct{}
}

// Start listens on a free loopback port and returns its address.
func (b *Breaker) Start() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "breaker")
	}
	b.listener, b.links = l, make(map[*link]struct{})
	go b.run()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Stop closes the listener and all connections.
func (b *Breaker) Stop() {
	_ = b.listener.Close()
	b.Cut()
}

// Silence stops forwarding on all present connections, without closing them,
// and returns how many there were. Later connections work.
func (b *Breaker) Silence() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for l := range b.links {
		l.silent.Store(true)
	}
	return len(b.links)
}

// Mute drops what comes back on all present connections, which stay open and
// keep forwarding the other way.
func (b *Breaker) Mute() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for l := range b.links {
		l.mute.Store(true)
	}
}

// Block separates the two sides: present and new connections are silent.
func (b *Breaker) Block() {
	b.Blocked.Store(true)
	b.Silence()
}

// Heal closes the silent connections and lets new ones work.
func (b *Breaker) Heal() {
	b.Blocked.Store(false)
	b.Cut()
}

// Cut closes all present connections.
func (b *Breaker) Cut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for l := range b.links {
		l.close()
	}
}

func (b *Breaker) run() {
	for {
		near, err := b.listener.Accept()
		if err != nil {
			return
		}
		l := &link{breaker: b, near: near}
		l.silent.Store(b.Blocked.Load())
		b.mu.Lock()
		b.links[l] = struct{}{}
		b.mu.Unlock()
		go l.run()
	}
}

func (b *Breaker) drop(l *link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.links, l)
}
