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

	mu    sync.Mutex
	cut   map[netip.AddrPort]bool
	conns map[net.Conn]netip.AddrPort
}

// ErrCut is the error of a cut path.
var ErrCut = errors.New("path is cut")

func (g *Gate) blocked(p netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[p]
}

// Open opens a stream unless the path is cut.
func (g *Gate) Open(ctx context.Context, p netip.AddrPort, k linker.StreamKind) (net.Conn, error) {
	if g.blocked(p) {
		return nil, ErrCut
	}
	c, err := g.Links.Open(ctx, p, k)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut[p] {
		_ = c.Close()
		return nil, ErrCut
	}
	if g.conns == nil {
		g.conns = make(map[net.Conn]netip.AddrPort)
	}
	g.conns[c] = p
	return c, nil
}

// Redial connects anew unless the path is cut.
func (g *Gate) Redial(ctx context.Context, p netip.AddrPort) (linker.Hello, error) {
	if g.blocked(p) {
		return linker.Hello{}, ErrCut
	}
	return g.Links.Redial(ctx, p)
}

// Set cuts exactly the given addresses and closes the streams to them.
func (g *Gate) Set(cut map[netip.AddrPort]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	for c, p := range g.conns {
		if cut[p] {
			_ = c.Close()
			delete(g.conns, c)
		}
	}
}
