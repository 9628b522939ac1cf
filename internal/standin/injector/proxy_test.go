package injector_test

import (
	"bufio"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/standin/injector"
)

// echoServer sends each line that it receives back on the same connection.
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

func startProxy(t *testing.T) (*injector.Proxy, netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echoServer{Listener: listener}
	go e.acceptConns()
	p := &injector.Proxy{Target: listener.Addr().(*net.TCPAddr).AddrPort()}
	addr, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close(); p.Stop() })
	return p, addr
}

// roundTrip sends a line and reads the response. It returns the first error.
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

// TestSilenceConns guards against silenced connections that are closed or still
// forward bytes, and against new connections that do not work.
func TestSilenceConns(t *testing.T) {
	p, addr := startProxy(t)
	old := dialProxy(t, addr)
	if err := roundTrip(old, time.Minute); err != nil {
		t.Fatalf("got %v before the connection was silenced, want a response", err)
	}
	if got := p.SilenceConns(); got != 1 {
		t.Errorf("got %d silent connections, want 1", got)
	}
	if err := roundTrip(old, 50*time.Millisecond); !os.IsTimeout(err) {
		t.Errorf("got %v on the silent connection, want a timeout", err)
	}
	if err := roundTrip(dialProxy(t, addr), time.Minute); err != nil {
		t.Errorf("got %v on a new connection, want a response", err)
	}
}

// TestPartition guards against a partition in which new connections are forwarded,
// and against connections that are still silent after its end.
func TestPartition(t *testing.T) {
	p, addr := startProxy(t)
	p.StartPartition()
	if err := roundTrip(dialProxy(t, addr), 50*time.Millisecond); !os.IsTimeout(err) {
		t.Errorf("got %v during the partition, want a timeout", err)
	}
	p.EndPartition()
	if err := roundTrip(dialProxy(t, addr), time.Minute); err != nil {
		t.Errorf("got %v after the partition, want a response", err)
	}
}
