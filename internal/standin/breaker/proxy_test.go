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

// echoServer answers each line with the same line on all connections.
type echoServer struct{ net.Listener }

func (e *echoServer) acceptConns() {
	for {
		conn, err := e.Accept()
		if err != nil {
			return
		}
		go e.echoLines(conn)
	}
}

func (e *echoServer) echoLines(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(line))
	}
}

func startProxy(t *testing.T) (*breaker.Breaker, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echoServer{Listener: listener}
	go e.acceptConns()
	p := &breaker.Breaker{Target: listener.Addr().(*net.TCPAddr).AddrPort()}
	addr, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close(); p.Stop() })
	return p, addr
}

// roundTrip returns the error of sending a line and reading it back.
func roundTrip(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte("line\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func dialProxy(t *testing.T, addr netip.AddrPort) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestSilenceConns guards against a trial of silent connections in which the old
// ones are closed or still forward, or in which new ones do not work.
func TestSilenceConns(t *testing.T) {
	p, addr := startProxy(t)
	old := dialProxy(t, addr)
	if err := roundTrip(old, time.Minute); err != nil {
		t.Fatalf("got %v before the silence, want an answer", err)
	}
	if got := p.Silence(); got != 1 {
		t.Errorf("got %d silent connections, want 1", got)
	}
	if err := roundTrip(old, 50*time.Millisecond); !os.IsTimeout(err) {
		t.Errorf("got %v on the silent connection, want a timeout", err)
	}
	if err := roundTrip(dialProxy(t, addr), time.Minute); err != nil {
		t.Errorf("got %v on a new connection, want an answer", err)
	}
}

// TestPartition guards against a partition that lets new connections through, or
// that does not end.
func TestPartition(t *testing.T) {
	p, addr := startProxy(t)
	p.Block()
	if err := roundTrip(dialProxy(t, addr), 50*time.Millisecond); !os.IsTimeout(err) {
		t.Errorf("got %v while blocked, want a timeout", err)
	}
	p.Heal()
	if err := roundTrip(dialProxy(t, addr), time.Minute); err != nil {
		t.Errorf("got %v after healing, want an answer", err)
	}
}
