package linker_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/standin/breaker"
)

// TestSilent guards against streams that stay open on a connection that loses
// all packets of one direction without an error.
func TestSilent(t *testing.T) {
	for _, direction := range []string{breaker.Upstream, breaker.Downstream} {
		t.Run(direction, func(t *testing.T) { testSilent(t, direction) })
	}
}

func testSilent(t *testing.T, direction string) {
	served := make(chan error, 1)
	lost := make(chan netip.AddrPort, 16)
	a := &linker.Linker{
		Name: "a", Plain: true, Keepalive: 40 * time.Millisecond, Write: 150 * time.Millisecond,
		Lost: func(p netip.AddrPort, _ error) { lost <- p },
	}
	b := &linker.Linker{Name: "b", Plain: true, Keepalive: 40 * time.Millisecond, Write: 150 * time.Millisecond}
	b.Handlers = map[linker.Kind]linker.Handler{linker.Call: reading(served)}
	start(t, a)
	start(t, b)
	p := &breaker.Path{To: b.Addr()}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	addr := p.Addr()
	c, err := a.Open(within(t), addr, linker.Call)
	if err != nil {
		t.Fatal(err)
	}
	exchange(t, c, "before")
	if err := p.Silence(direction); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("dialing side still reads")
	}
	if got := <-lost; got != addr {
		t.Errorf("got lost %v, want %v", got, addr)
	}
	select {
	case <-served:
	case <-time.After(limit):
		t.Error("stream of the accepting side stays open")
	}
	if err := p.Restore(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "new session", func() bool {
		c, err := a.Open(within(t), addr, linker.Call)
		return err == nil && c.Close() == nil
	})
}

// reading echoes until the stream fails and then reports the error.
func reading(served chan<- error) linker.HandlerFunc {
	return func(from linker.Hello, c net.Conn) {
		echo(from, c)
		served <- errors.New("stream ended")
	}
}
