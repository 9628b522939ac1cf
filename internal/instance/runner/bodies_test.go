package runner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startLimitedDeployment starts an instance with a limit of memory and a backend server
// with one slot.
func startLimitedDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, arrived: make(chan bool, 100), cancelled: make(chan bool, 100), slots: 1, memory: 64}
	d.start(1)
	return d
}

// open opens a connection to the instance and sends text.
func (d *deployment) open(text string) net.Conn {
	d.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(d.url, "http://"), "/s"))
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		d.t.Fatal(err)
	}
	return conn
}

// TestSlowWriterHoldsNoSlot guards against callers that occupy the slots of a service while
// they send their bodies.
func TestSlowWriterHoldsNoSlot(t *testing.T) {
	d := startLimitedDeployment(t)
	const head = "POST /s/note HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
	var slow []net.Conn
	for range 5 {
		slow = append(slow, d.open(head+"123456789"))
	}
	for range 5 {
		if got := d.sendCall(t.Context(), http.MethodGet, "/note", "", "2000"); got != "200 noted" {
			t.Fatalf("got %q while others send, want 200 noted", got)
		}
	}
	for _, conn := range slow {
		_, _ = io.WriteString(conn, "0")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("got response %v and error %v after the whole body, want status 200", resp, err)
		}
	}
	if got := d.runCount.Load(); got != 10 {
		t.Errorf("got %d calls at the backend server, want 10", got)
	}
}

// TestBodyStopsShort guards against a call whose body does not end and that runs, or gets
// no answer at its deadline.
func TestBodyStopsShort(t *testing.T) {
	d := startLimitedDeployment(t)
	conn := d.open("POST /s/note HTTP/1.1\r\nHost: h\r\nSardine-Deadline: 100\r\nContent-Length: 10\r\n\r\n123456789")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := fmt.Sprint(resp.StatusCode, resp.Header["Sardine-Outcome"], resp.Close), "504 [rejected] true"; got != want {
		t.Errorf("got status, outcome and close %s, want %s", got, want)
	}
	if got := d.runCount.Load(); got != 0 {
		t.Errorf("got %d calls at the backend server, want 0", got)
	}
}

// TestStreamedBody guards against a caller that sends its body only when the answer has
// begun and gets none.
func TestStreamedBody(t *testing.T) {
	d := startLimitedDeployment(t)
	conn := d.open("POST /s/stream HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	begin := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, begin); err != nil || string(begin) != "begun" {
		t.Fatalf("got %q and error %v, want begun", begin, err)
	}
	_, _ = io.WriteString(conn, "3\r\nend\r\n0\r\n\r\n")
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "end" {
		t.Errorf("got %q and error %v, want end", rest, err)
	}
}

// TestBodyBackPressure guards against an instance that reads a body which the backend
// server does not take.
func TestBodyBackPressure(t *testing.T) {
	d := startLimitedDeployment(t)
	d.readBody = make(chan bool)
	defer close(d.readBody)
	conn := d.open("POST /s/unread HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n" + strings.Repeat("b", 64<<10))
	<-d.arrived
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	const limit = 64 << 20 // Buffers of the kernel included.
	part, sent := make([]byte, 64<<10), 0
	for sent < limit {
		n, err := conn.Write(part)
		if sent += n; err != nil {
			return
		}
	}
	t.Errorf("got %d bytes taken from the caller, want less than %d", sent, limit)
}
