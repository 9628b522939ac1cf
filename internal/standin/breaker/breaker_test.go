package breaker_test

import (
	"bufio"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/standin/breaker"
)

// echo answers each line with the same line on all connections.
type echo struct{ net.Listener }

func (e *echo) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *echo) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = c.Write([]byte(line))
	}
}

func start(t *testing.T) (*breaker.Breaker, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{Listener: l}
	go e.run()
	b := &breaker.Breaker{Target: l.Addr().(*net.TCPAddr).AddrPort()}
	addr, err := b.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close(); b.Stop() })
	return b, addr
}

// ask returns the error of sending a line and reading it back.
func ask(c net.Conn, patience time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Write([]byte("line\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func dial(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestSilence guards against a trial of silent connections in which the old
// ones are closed or still forward, or in which new ones do not work.
func TestSilence(t *testing.T) {
	b, addr := start(t)
	old := dial(t, addr)
	if err := ask(old, time.Minute); err != nil {
		t.Fatalf("got %v before the silence, want an answer", err)
	}
	if got := b.Silence(); got != 1 {
		t.Errorf("got %d silent connections, want 1", got)
	}
	if err := ask(old, 50*time.Millisecond); !os.IsTimeout(err) {
		t.Errorf("got %v on the silent connection, want a timeout", err)
	}
	if err := ask(dial(t, addr), time.Minute); err != nil {
		t.Errorf("got %v on a new connection, want an answer", err)
	}
}

// TestBlock guards against a partition that lets new connections through, or
// that does not end.
func TestBlock(t *testing.T) {
	b, addr := start(t)
	b.Block()
	if err := ask(dial(t, addr), 50*time.Millisecond); !os.IsTimeout(err) {
		t.Errorf("got %v while blocked, want a timeout", err)
	}
	b.Heal()
	if err := ask(dial(t, addr), time.Minute); err != nil {
		t.Errorf("got %v after healing, want an answer", err)
	}
}
