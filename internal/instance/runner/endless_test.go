package runner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// rawServer is a backend server that answers each request with the bytes of start and
// then those of repeat, without end, until the connection is closed.
type rawServer struct {
	net.Listener
	start, repeat string
	reset         bool // Resets the connection after start instead.
	closed        chan bool
	requests      atomic.Int64
}

func startRawServer(t *testing.T, s *rawServer) {
	t.Helper()
	var err error
	if s.Listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	s.closed = make(chan bool, 100)
	t.Cleanup(func() { _ = s.Close() })
	go s.run()
}

func (s *rawServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go (&rawConn{s, c}).run()
	}
}

// rawConn is a connection to a rawServer.
type rawConn struct {
	*rawServer
	conn net.Conn
}

func (c *rawConn) run() {
	defer func() { _ = c.conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c.conn)); err != nil {
		return
	}
	c.requests.Add(1)
	_, _ = io.WriteString(c.conn, c.start)
	if c.reset {
		time.Sleep(20 * time.Millisecond) // The bytes of start arrive before the reset.
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		return
	}
	block := []byte(strings.Repeat(c.repeat, 1+(16<<10)/len(c.repeat))) // Written as it is: a copy for each write would count as heap.
	for {
		if _, err := c.conn.Write(block); err != nil {
			c.closed <- true
			return
		}
	}
}

// startRawDeployment starts an instance whose only backend server is s.
func startRawDeployment(t *testing.T, s *rawServer) *deployment {
	startRawServer(t, s)
	d := &deployment{t: t, arrived: make(chan bool, 1), cancelled: make(chan bool, 1)}
	d.platform.SetList([]reader.Entry{{Name: "s-0", Address: s.Addr().(*net.TCPAddr).AddrPort(), Zone: "a", Region: "home", Service: "s"}})
	text, err := parser.FormatBundle(&parser.Bundle{Version: 1, Services: []parser.Service{{Name: "s", Slots: 50, Routes: []parser.Route{{Path: "/"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	d.platform.PublishBundle(text)
	d.startInstance()
	return d
}

// heapWatcher records the largest heap in use until it is stopped.
type heapWatcher struct {
	done, stopped chan bool
	peak          uint64
}

func (h *heapWatcher) run() {
	defer close(h.stopped)
	for {
		h.peak = max(h.peak, heapInUse())
		select {
		case <-h.done:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse
}

// okLine is the first line of a response.
const okLine = "HTTP/1.1 200 OK\r\n"

// endlessResponses are bytes without end from a backend server: those of start and then
// repeat again and again. Alternatives in want are separated by |.
var endlessResponses = []struct {
	name, start, repeat string
	want                string
}{
	{"status line", "HTTP/1.1 200 ", "x", "502 unknown read"},
	{"no protocol", "", "x", "502 unknown read"},
	{"header lines", okLine, "X-Fill: x\r\n", "502 unknown read"},
	{"one header line", okLine + "X-Fill: ", "x", "502 unknown read"},
	{"empty lines", "", "\r\n", "502 unknown read"},
	{"informational answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "502 unknown read"},
	{"continue", "", "HTTP/1.1 100 Continue\r\n\r\n", "502 unknown read"},
	{"unframed body", okLine + "\r\n", "x", "cut|no answer"},
	{"chunked body", okLine + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", "cut|no answer"},
	{"chunk size", okLine + "Transfer-Encoding: chunked\r\n\r\n", "0", "cut|no answer"},
	{"chunk extension", okLine + "Transfer-Encoding: chunked\r\n\r\n1;", "x", "cut|no answer"},
	{"trailers", okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n", "cut|no answer"},
	{"after the end", okLine + "Content-Length: 5\r\n\r\nhello", "x", "200 hello"},
	{"long body", okLine + "Content-Length: 99999999999\r\n\r\n", "x", "cut|no answer"},
}

// TestEndlessResponse guards against bytes without end from a backend server, in a okLine
// or in a body, that reach the caller as a complete success, keep a connection or a call
// open after the deadline, or fill the memory.
func TestEndlessResponse(t *testing.T) {
	const maxHeapGrowth = 10 << 20
	for _, tt := range endlessResponses {
		t.Run(tt.name, func(t *testing.T) {
			s := &rawServer{start: tt.start, repeat: tt.repeat}
			d := startRawDeployment(t, s)
			runtime.GC()
			before := heapInUse()
			h := &heapWatcher{done: make(chan bool), stopped: make(chan bool)}
			go h.run()
			got := d.discardCall(t, "1000")
			close(h.done)
			<-h.stopped
			if !strings.Contains("|"+tt.want+"|", "|"+got+"|") {
				t.Errorf("got %.60q, want %q", got, tt.want)
			}
			select {
			case <-s.closed:
			case <-time.After(20 * time.Second):
				t.Error("got a connection to the backend server that is still open, want it closed")
			}
			if s.requests.Load() != 1 {
				t.Errorf("got %d sends of a call that is not idempotent, want 1", s.requests.Load())
			}
			if h.peak > before+maxHeapGrowth {
				t.Errorf("got a heap of %d MB more than before, want at most 10", (h.peak-before)>>20)
			}
		})
	}
}

// discardCall is sendCall for a response that may be too long to be kept.
func (d *deployment) discardCall(t *testing.T, deadline string) string {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.url+"/echo", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Sardine-Deadline", deadline)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if o := resp.Header.Get("Sardine-Outcome"); o != "" {
		return strings.TrimSpace(resp.Status[:3] + " " + o + " " + resp.Header.Get("Sardine-Reason"))
	}
	var start strings.Builder
	if _, err := io.CopyN(&start, resp.Body, 100); err == io.EOF {
		return resp.Status[:3] + " " + start.String()
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "cut"
	}
	return resp.Status[:3] + " long body"
}

// TestBrokenOffResponse guards against an answer that breaks off halfway and reaches
// the caller as a complete success, however its end is marked.
func TestBrokenOffResponse(t *testing.T) {
	for _, tt := range []struct{ name, start string }{
		{"length", okLine + "Content-Length: 10\r\n\r\nhello"},
		{"chunk", okLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel"},
		{"last chunk", okLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
		{"end of the last chunk", okLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"},
		{"trailers", okLine + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n0\r\nX: 1\r\n"},
		{"connection", okLine + "\r\nhello"},
	} {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/2"} {
			t.Run(tt.name+"/"+protocol, func(t *testing.T) {
				s := &rawServer{start: tt.start, reset: true}
				d := startRawDeployment(t, s)
				got := d.callWith(t, protocol)
				if got != "cut" && got != "no answer" {
					t.Errorf("got %q, want an answer that is visibly cut", got)
				}
				if s.requests.Load() != 1 {
					t.Errorf("got %d sends of a call that is not idempotent, want 1", s.requests.Load())
				}
			})
		}
	}
}

// callWith sends a call with the given protocol and describes the response.
func (d *deployment) callWith(t *testing.T, protocol string) string {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetHTTP1(protocol == "HTTP/1.1")
	transport.Protocols.SetUnencryptedHTTP2(protocol == "HTTP/2")
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.url+"/echo", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "cut"
	}
	return resp.Status + " " + string(text)
}
