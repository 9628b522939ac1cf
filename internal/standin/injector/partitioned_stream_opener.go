package injector

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// PartitionedStreamOpener wraps the StreamOpener of one instance and blocks the
// streams to given addresses, as in a network partition.
type PartitionedStreamOpener struct {
	registrar.StreamOpener

	mu           sync.Mutex
	blockedAddrs map[netip.AddrPort]bool
	addrByConn   map[net.Conn]netip.AddrPort
}

// ErrBlocked is returned for a stream to a blocked address.
var ErrBlocked = errors.New("address is blocked by a simulated network partition")

func (l *PartitionedStreamOpener) isBlocked(addr netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blockedAddrs[addr]
}

// OpenStream opens a stream to addr, or returns ErrBlocked when addr is blocked.
func (l *PartitionedStreamOpener) OpenStream(ctx context.Context, addr netip.AddrPort, kind connector.StreamKind) (net.Conn, error) {
	if l.isBlocked(addr) {
		return nil, ErrBlocked
	}
	c, err := l.StreamOpener.OpenStream(ctx, addr, kind)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blockedAddrs[addr] {
		_ = c.Close()
		return nil, ErrBlocked
	}
	if l.addrByConn == nil {
		l.addrByConn = make(map[net.Conn]netip.AddrPort)
	}
	l.addrByConn[c] = addr
	return c, nil
}

// Redial connects to addr again, or returns ErrBlocked when addr is blocked.
func (l *PartitionedStreamOpener) Redial(ctx context.Context, addr netip.AddrPort) (connector.Hello, error) {
	if l.isBlocked(addr) {
		return connector.Hello{}, ErrBlocked
	}
	return l.StreamOpener.Redial(ctx, addr)
}

// BlockAddrs blocks the given addresses, unblocks all others and closes the open
// streams to the blocked ones.
func (l *PartitionedStreamOpener) BlockAddrs(blocked map[netip.AddrPort]bool) {
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
