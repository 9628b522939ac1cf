package sender_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// cutResponse is a response of which a backend server sends a part before it ends the
// connection.
type cutResponse struct {
	name, method, head, body string
	closeDelimited           bool // The end of the connection ends the body.
}

// seal is the last header of each final head; bodyText is the body of each response.
const (
	seal     = "Seal: 3e1b.07\r\n\r\n"
	bodyText = "0123456789"
)

var cutResponses = []cutResponse{
	{name: "length", method: "POST", head: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + seal, body: bodyText},
	{name: "length last", method: "POST", head: "HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\nContent-Length: 10\r\n\r\n", body: bodyText},
	{name: "chunks", method: "POST", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + seal, body: "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"},
	{name: "chunks last", method: "POST", head: "HTTP/1.1 200 OK\r\nSeal: 3e1b.07\r\nTransfer-Encoding: chunked\r\n\r\n", body: "a\r\n0123456789\r\n0\r\n\r\n"},
	{name: "trailers", method: "POST", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: End\r\n" + seal, body: "a\r\n0123456789\r\n0\r\nEnd: yes\r\nMore: 1\r\n\r\n"},
	{name: "no length", method: "POST", head: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + seal, body: bodyText, closeDelimited: true},
	{name: "HTTP/1.0", method: "POST", head: "HTTP/1.0 200 OK\r\n" + seal, body: bodyText, closeDelimited: true},
	{name: "bare LF", method: "POST", head: "HTTP/1.1 200 OK\nContent-Length: 10\nSeal: 3e1b.07\n\n", body: bodyText},
	{name: "folded line", method: "POST", head: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nFold: a\r\n  \r\n\tb\r\n" + seal, body: bodyText},
	{name: "after 103", method: "POST", head: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + seal, body: bodyText},
	{name: "after 100", method: "POST", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + seal, body: bodyText},
	{name: "HEAD", method: "HEAD", head: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n" + seal},
	{name: "204", method: "DELETE", head: "HTTP/1.1 204 No Content\r\n" + seal},
	{name: "304", method: "GET", head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n" + seal},
	{name: "refusal", method: "POST", head: "HTTP/1.1 503 Busy\r\nProof: 1\r\nContent-Length: 10\r\n" + seal, body: bodyText},
	{name: "error", method: "POST", head: "HTTP/1.1 500 Error\r\nContent-Length: 10\r\n" + seal, body: bodyText},
}

// cutRun cuts a response after each number of bytes. With reused, the call is sent on a
// connection that had a complete exchange before.
type cutRun struct {
	cutResponse
	t             *testing.T
	reset, reused bool
	server        *scriptedServer
	sender        sender.Sender
	cut           atomic.Int64 // Number of bytes that the server sends.
	reusedCount   atomic.Int64 // Calls that arrived on a reused connection.
}

// run makes all cuts.
func (c *cutRun) run() {
	c.server, c.sender.Dialect = startServer(c.t, c.answer), strictDialect{}
	for n := range len(c.head) + len(c.body) {
		c.cut.Store(int64(n))
		if c.reused {
			resp, err := c.sender.Send(c.t.Context(), newAttempt(c.server, http.MethodOptions, "", true))
			readBody(c.t, resp, err)
		}
		c.checkResult(c.sender.Send(c.t.Context(), newAttempt(c.server, c.method, "", false)))
	}
	if c.reused && c.reusedCount.Load() == 0 {
		c.t.Errorf("%s: got no call on a reused connection", c.name)
	}
}

// answer is the script of the server.
func (c *cutRun) answer(conn net.Conn, r *http.Request, _, requestNumber int) bool {
	if r.Method == http.MethodOptions {
		return writeText(conn, helloResponse)
	}
	if requestNumber > 1 {
		c.reusedCount.Add(1)
	}
	writeText(conn, (c.head + c.body)[:c.cut.Load()])
	if c.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return false
}

// checkResult checks the result of the call whose response was cut.
func (c *cutRun) checkResult(resp *http.Response, err error) {
	cut := int(c.cut.Load())
	name := fmt.Sprintf("%s, reset %v, reused %v, cut after %q", c.name, c.reset, c.reused, (c.head + c.body)[:cut])
	var f *sender.Failure
	switch {
	case cut < len(c.head):
		if resp != nil || !errors.As(err, &f) || f.Outcome != sender.Unknown || f.Reason != "read" {
			c.t.Errorf("%s: got %v and error %v, want none and unknown: read", name, resp, err)
		}
	case err == nil:
		c.checkBody(name, resp, c.body[:cut-len(c.head)])
	case c.name == "refusal":
		if errors.As(err, &f); f == nil || f.Reason != "refused" && !c.reset {
			c.t.Errorf("%s: got error %v, want rejected by the whole head", name, err)
		}
	case !c.reset:
		c.t.Errorf("%s: got error %v, want the response", name, err)
	}
	if resp != nil {
		_ = resp.Body.Close()
	}
}

// checkBody checks the body of a response whose head is whole.
func (c *cutRun) checkBody(name string, resp *http.Response, want string) {
	text, err := io.ReadAll(resp.Body)
	if err == nil && (c.reset || !c.closeDelimited || string(text) != want) {
		c.t.Errorf("%s: got body %q without an error, want an error or, if the end of the connection ends it, %q", name, text, want)
	}
}

// TestCutResponse guards against a response that a backend server broke off, at any byte
// of its head or body, and that counts as complete, or whose call counts as rejected.
func TestCutResponse(t *testing.T) {
	var group sync.WaitGroup
	for _, response := range cutResponses {
		for _, reset := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				group.Go((&cutRun{cutResponse: response, t: t, reset: reset, reused: reused}).run)
			}
		}
	}
	group.Wait()
}

// TestCutResponseToResend guards against the same for the second send of a call, whose
// first connection was silent.
func TestCutResponseToResend(t *testing.T) {
	c := &cutRun{cutResponse: cutResponses[0], t: t, reset: true}
	b := startServer(t, func(conn net.Conn, r *http.Request, connNumber, requestNumber int) bool {
		switch {
		case r.Header.Get("Sardine-Attempt") == "1":
			return writeText(conn, helloResponse)
		case requestNumber > 1:
			c.reusedCount.Add(1)
			return waitForClose(conn)
		}
		return c.answer(conn, r, connNumber, requestNumber)
	})
	recordShortLatencies(t, &c.sender, b)
	for n := 0; n < len(c.head)+len(c.body); n += 8 {
		c.cut.Store(int64(n))
		resp, err := c.sender.Send(t.Context(), newAttempt(b, http.MethodGet, "", true))
		readBody(t, resp, err)
		for c.sender.HasRecentExchange(b.addr(), 0) {
			time.Sleep(time.Millisecond) // Until the connection is idle; otherwise the next call opens a new one.
		}
		c.checkResult(c.sender.Send(t.Context(), newResendableAttempt(b)))
	}
	if c.reusedCount.Load() == 0 {
		t.Error("got no call on a silent connection")
	}
}

// TestCutResponseToProbe guards against a load report that broke off and counts.
func TestCutResponseToProbe(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nSardine-Load: 1/2\r\nContent-Length: 2\r\n\r\nok"
	for n := range text {
		b := startServer(t, func(conn net.Conn, _ *http.Request, _, _ int) bool {
			writeText(conn, text[:n])
			return false
		})
		if got, err := new(sender.Sender).ProbeServer(t.Context(), b.addr(), withholder.Lifetime{}, "/load", 250); err == nil {
			t.Errorf("cut after %q: got %+v, want an error", text[:n], got)
		}
	}
}
