package breaker

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// Gate cuts the links of one instance to some addresses.
type Gate struct {
	registrar.Links

	mu           sync.Mutex
	blockedAddrs map[netip.AddrPort]bool
	addrByConn   map[net.Conn]netip.AddrPort
}

// ErrCut is the error of a cut path.
var ErrCut = errors.New("path is cut")

func (l *Gate) isBlocked(addr netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blockedAddrs[addr]
}

// Open opens a stream unless the path is cut.
func (l *Gate) Open(ctx context.Context, addr netip.AddrPort, kind linker.Kind) (net.Conn, error) {
	if l.isBlocked(addr) {
		return nil, ErrCut
	}
	c, err := l.Links.Open(ctx, addr, kind)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blockedAddrs[addr] {
		_ = c.Close()
		return nil, ErrCut
	}
	if l.addrByConn == nil {
		l.addrByConn = make(map[net.Conn]netip.AddrPort)
	}
	l.addrByConn[c] = addr
	return c, nil
}

// Redial connects anew unless the path is cut.
func (l *Gate) Redial(ctx context.Context, addr netip.AddrPort) (linker.Hello, error) {
	if l.isBlocked(addr) {
		return linker.Hello{}, ErrCut
	}
	return l.Links.Redial(ctx, addr)
}

// Set cuts exactly the given addresses and closes the streams to them.
func (l *Gate) Set(blocked map[netip.AddrPort]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockedAddrs = blocked
	for c, addr := range l.addrByConn {
		if blocked[addr] {
			_ = c.Close()
			delete(l.addrByConn, c)
		}
	}
}
