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

func (p *PartitionedStreamOpener) isBlocked(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockedAddrs[addr]
}

// OpenStream opens a stream to addr, or returns ErrBlocked when addr is blocked.
func (p *PartitionedStreamOpener) OpenStream(ctx context.Context, addr netip.AddrPort, kind connector.StreamKind) (net.Conn, error) {
	if p.isBlocked(addr) {
		return nil, ErrBlocked
	}
	c, err := p.StreamOpener.OpenStream(ctx, addr, kind)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blockedAddrs[addr] {
		_ = c.Close()
		return nil, ErrBlocked
	}
	if p.addrByConn == nil {
		p.addrByConn = make(map[net.Conn]netip.AddrPort)
	}
	p.addrByConn[c] = addr
	return c, nil
}

// Redial connects to addr again, or returns ErrBlocked when addr is blocked.
func (p *PartitionedStreamOpener) Redial(ctx context.Context, addr netip.AddrPort) (connector.Hello, error) {
	if p.isBlocked(addr) {
		return connector.Hello{}, ErrBlocked
	}
	return p.StreamOpener.Redial(ctx, addr)
}

// BlockAddrs blocks the given addresses, unblocks all others and closes the open
// streams to the blocked ones.
func (p *PartitionedStreamOpener) BlockAddrs(blocked map[netip.AddrPort]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedAddrs = blocked
	for c, addr := range p.addrByConn {
		if blocked[addr] {
			_ = c.Close()
			delete(p.addrByConn, c)
		}
	}
}
