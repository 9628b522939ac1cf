package registrar_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// gate cuts the links of one instance to some addresses.
type gate struct {
	registrar.Links
	mu    sync.Mutex
	cut   map[netip.AddrPort]bool
	conns map[net.Conn]netip.AddrPort
}

var errCut = errors.New("path is cut")

func (g *gate) blocked(p netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[p]
}

func (g *gate) Open(ctx context.Context, p netip.AddrPort, k linker.Kind) (net.Conn, error) {
	if g.blocked(p) {
		return nil, errCut
	}
	c, err := g.Links.Open(ctx, p, k)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut[p] {
		_ = c.Close()
		return nil, errCut
	}
	g.conns[c] = p
	return c, nil
}

func (g *gate) Redial(ctx context.Context, p netip.AddrPort) (linker.Hello, error) {
	if g.blocked(p) {
		return linker.Hello{}, errCut
	}
	return g.Links.Redial(ctx, p)
}

// set cuts exactly the given addresses and closes the streams to them.
func (g *gate) set(cut map[netip.AddrPort]bool) {
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

// TestPartition guards against a side that loses or keeps using the members of
// the other side, and against sides that never hear each other again.
func TestPartition(t *testing.T) {
	const n = 6
	all := make([]*instance, n)
	gates := make([]*gate, n)
	for i := range all {
		gates[i] = &gate{conns: make(map[net.Conn]netip.AddrPort)}
		all[i] = launchOn(t, member(i).Name, 1, anyPort, 20*time.Millisecond, gates[i])
	}
	share(all, nil)
	eventually(t, "heartbeats", func() bool { return find(all[0], "i3").Incarnation > 0 })
	for i, g := range gates {
		cut := make(map[netip.AddrPort]bool)
		for j, x := range all {
			if (i < n/2) != (j < n/2) {
				cut[x.Peer] = true
			}
		}
		g.set(cut)
	}
	for i := range n / 2 {
		everywhere(t, all[n/2:], all[i].Name, registrar.Gone)
		everywhere(t, all[:n/2], all[n/2+i].Name, registrar.Gone)
	}
	for _, x := range all {
		if got := len(x.Usable("z", "home")); got != n/2 {
			t.Errorf("%s: got %d usable members, want %d", x.Name, got, n/2)
		}
		if got := len(x.Believed().Names); got != n {
			t.Errorf("%s: got %d believed names, want %d", x.Name, got, n)
		}
	}
	for _, g := range gates {
		g.set(nil)
	}
	for _, x := range all {
		everywhere(t, all, x.Name, registrar.Alive)
	}
}
