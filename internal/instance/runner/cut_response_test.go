package runner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// cuttableResponses are the responses of a cutServer by the name in the header Kind of
// the request.
var cuttableResponses = map[string]struct{ head, body string }{
	"length":    {okLine + "Content-Length: 5\r\n\r\n", "hello"},
	"chunks":    {okLine + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n", "5\r\nhello\r\n0\r\nX: 1\r\n\r\n"},
	"no length": {okLine + "Connection: close\r\n\r\n", "hello"},
	"after 103": {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okLine + "Content-Length: 5\r\n\r\n", "hello"},
}

// cutServer is a backend server that sends, of the response named in the header Kind, as
// many bytes as the header Cut says, and ends the connection as the header End says.
type cutServer struct {
	net.Listener
	requests atomic.Int64
}

func (s *cutServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go (&cutConn{s, c}).run()
	}
}

// cutConn is a connection to a cutServer.
type cutConn struct {
	*cutServer
	conn net.Conn
}

func (c *cutConn) run() {
	defer func() { _ = c.conn.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c.conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	c.requests.Add(1)
	response := cuttableResponses[r.Header.Get("Kind")]
	text := response.head + response.body
	if n, err := strconv.Atoi(r.Header.Get("Cut")); err == nil {
		text = text[:n]
	}
	_, _ = io.WriteString(c.conn, text)
	if r.Header.Get("End") == "reset" {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
	}
}

// startCutDeployment starts an instance whose only backend server is a cutServer.
func startCutDeployment(t *testing.T) (*deployment, *cutServer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &cutServer{Listener: listener}
	go s.run()
	d := &deployment{t: t}
	d.platform.SetList([]reader.Entry{{Name: "s-0", Address: listener.Addr().(*net.TCPAddr).AddrPort(), Zone: "a", Region: "home", Service: "s"}})
	text, err := parser.FormatBundle(&parser.Bundle{Version: 1, Services: []parser.Service{{Name: "s", Slots: 50, Routes: []parser.Route{{Path: "/"}}}}})
	if err != nil {
		t.Fatal(err)
	}
	d.platform.PublishBundle(text)
	d.startInstance()
	return d, s
}

// sendCutCall sends a call whose response is cut after n bytes and describes what the
// caller gets.
func (d *deployment) sendCutCall(t *testing.T, protocol, kind, end string, n int) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.url+"/echo", strings.NewReader("b"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"Kind": kind, "End": end, "Cut": strconv.Itoa(n), "Sardine-Deadline": "20000"} {
		r.Header.Set(name, value)
	}
	return sendWith(t, protocol, r)
}

// wantAfterCut describes what a caller may get for a response that is cut after n bytes.
func wantAfterCut(kind, end string, n int) string {
	response := cuttableResponses[kind]
	switch head := len(response.head); {
	case n < head:
		return "502 unknown read"
	case kind == "no length" && end == "close":
		return "200 OK " + response.body[:n-head] // The end of the connection is the end of the body.
	default:
		return "cut|no answer|502 unknown read"
	}
}

// sendWith sends r with the given protocol and describes the response.
func sendWith(t *testing.T, protocol string, r *http.Request) string {
	t.Helper()
	roundTripper := http.RoundTripper(plainRoundTripper{t})
	if protocol != "HTTP/1.0" {
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetHTTP1(protocol == "HTTP/1.1")
		transport.Protocols.SetUnencryptedHTTP2(protocol == "HTTP/2")
		defer transport.CloseIdleConnections()
		roundTripper = transport
	}
	resp, err := roundTripper.RoundTrip(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if o := resp.Header.Get("Sardine-Outcome"); o != "" {
		return fmt.Sprintf("%d %s %s", resp.StatusCode, o, resp.Header.Get("Sardine-Reason"))
	}
	if err != nil {
		return "cut"
	}
	return resp.Status + " " + string(text)
}

// plainRoundTripper sends requests over HTTP/1.0, each on a connection of its own.
type plainRoundTripper struct{ t *testing.T }

func (p plainRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	conn, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	var text strings.Builder
	if err := r.Write(&text); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, strings.Replace(text.String(), " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), r)
}

// TestCutResponse guards against a response that broke off in its head or body and
// reaches a caller as complete, over any protocol, and against a call that is not
// idempotent and is reported as rejected, or sent again, after it.
func TestCutResponse(t *testing.T) {
	d, s := startCutDeployment(t)
	for kind := range cuttableResponses {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1", "HTTP/2"} {
			for _, end := range []string{"close", "reset"} {
				d.checkCutResponse(t, s, protocol, kind, end)
			}
		}
	}
}

// checkCutResponse cuts a response at many bytes. The tests of the sender cut after each.
func (d *deployment) checkCutResponse(t *testing.T, s *cutServer, protocol, kind, end string) {
	t.Helper()
	head, body := len(cuttableResponses[kind].head), len(cuttableResponses[kind].body)
	for n := range head + body {
		if n < head-4 && n%6 > 0 {
			continue
		}
		before := s.requests.Load()
		want := wantAfterCut(kind, end, n)
		if got := d.sendCutCall(t, protocol, kind, end, n); !strings.Contains("|"+want+"|", "|"+got+"|") {
			t.Errorf("%s, %s, %s after %d bytes of a head of %d: got %q, want %q", kind, protocol, end, n, head, got, want)
		}
		if sends := s.requests.Load() - before; sends != 1 {
			t.Errorf("%s, %s, %s after %d bytes: got %d sends, want 1", kind, protocol, end, n, sends)
		}
	}
}

// TestPipelinedAfterCut guards against a response that reaches a caller in the place of
// another one when a caller sends its next request before the first response broke off.
func TestPipelinedAfterCut(t *testing.T) {
	d, _ := startCutDeployment(t)
	head := len(cuttableResponses["length"].head)
	for _, test := range []struct {
		name string
		cut  int
		want []string
	}{
		{"head", head - 2, []string{"502 ", "200 hello", "EOF"}},
		{"body", head + 2, []string{"EOF"}},
	} {
		conn, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(d.url, "http://"), "/s"))
		if err != nil {
			t.Fatal(err)
		}
		const request = "POST /s/echo HTTP/1.1\r\nHost: x\r\nKind: length\r\nContent-Length: 1\r\n"
		_, _ = fmt.Fprintf(conn, "%sCut: %d\r\n\r\nb%sConnection: close\r\n\r\nb", request, test.cut, request)
		br := bufio.NewReader(conn)
		var got []string
		for len(got) < len(test.want) {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				got = append(got, "EOF")
				break
			}
			text, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK {
				text = nil
			}
			got = append(got, fmt.Sprintf("%d %s", resp.StatusCode, text))
		}
		if strings.Join(got, ", ") != strings.Join(test.want, ", ") {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
		_ = conn.Close()
	}
}
