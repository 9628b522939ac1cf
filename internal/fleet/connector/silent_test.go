package connector_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/standin/injector"
)

// TestSilentConnection guards against streams that stay open on a connection that
// loses all packets of one direction without an error.
func TestSilentConnection(t *testing.T) {
	for _, direction := range []string{injector.Upstream, injector.Downstream} {
		t.Run(direction, func(t *testing.T) { testSilentConnection(t, direction) })
	}
}

func testSilentConnection(t *testing.T, direction string) {
	served := make(chan error, 1)
	lost := make(chan netip.AddrPort, 16)
	a := &connector.Connector{
		Name: "a", Plain: true, KeepaliveInterval: 40 * time.Millisecond, WriteTimeout: 150 * time.Millisecond,
		OnPeerLost: func(path netip.AddrPort, _ error) { lost <- path },
	}
	b := &connector.Connector{Name: "b", Plain: true, KeepaliveInterval: 40 * time.Millisecond, WriteTimeout: 150 * time.Millisecond}
	b.Handlers = map[connector.StreamKind]connector.Handler{connector.CallStream: echoAndReport(served)}
	startConnector(t, a)
	startConnector(t, b)
	path := &injector.DirectionalProxy{Target: b.Addr()}
	if err := path.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(path.Stop)
	addr := path.Addr()
	c, err := a.OpenStream(withTimeout(t), addr, connector.CallStream)
	if err != nil {
		t.Fatal(err)
	}
	exchangeText(t, c, "before")
	if err := path.DropDirection(direction); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("reading on the dialing side returned no error")
	}
	if got := <-lost; got != addr {
		t.Errorf("got lost %v, want %v", got, addr)
	}
	select {
	case <-served:
	case <-time.After(testTimeout):
		t.Error("stream of the accepting side is still open")
	}
	if err := path.RestoreDirection(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "new session", func() bool {
		c, err := a.OpenStream(withTimeout(t), addr, connector.CallStream)
		return err == nil && c.Close() == nil
	})
}

// echoAndReport returns a handler that echoes a stream until the stream ends and
// then sends an error to served.
func echoAndReport(served chan<- error) connector.HandlerFunc {
	return func(from connector.Hello, c net.Conn) {
		echoStream(from, c)
		served <- errors.New("stream ended")
	}
}
