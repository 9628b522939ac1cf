package sender_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// copyingServer refuses the first request, writes the refusal once more on that
// connection, and runs all other requests.
type copyingServer struct {
	refusal, copied string // Heads of the refusal and of its copy.
	when            copyTime
	refused         atomic.Bool // The refusal was written.
	runCount        atomic.Int64
}

// copyTime is the time at which a copyingServer writes the copy.
type copyTime string

const (
	atOnce        copyTime = "at once"
	whileIdle     copyTime = "while idle"
	atNextRequest copyTime = "at the next request"
	beforeBody    copyTime = "before a long body is read"
	afterContinue copyTime = "after 100 Continue"
	afterAnswer   copyTime = "after the next answer"
)

func (s *copyingServer) answer(c net.Conn, r *http.Request, connNumber, requestNumber int) bool {
	refusal, copied := emptyResponse(s.refusal), emptyResponse(s.copied)
	if !s.refused.Swap(true) {
		if s.when == atOnce {
			return writeText(c, refusal+copied)
		}
		if !writeText(c, refusal) {
			return false
		}
		if s.when == whileIdle {
			time.Sleep(idleCopyDelay)
			return writeText(c, copied)
		}
		return true
	}
	s.runCount.Add(1)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown", r.Header.Get("Id"))
	if r.Header.Get("Expect") != "" && !writeText(c, "HTTP/1.1 100 Continue\r\n\r\n") {
		return false
	}
	isCopyDue := connNumber == 1 && requestNumber == 2 // The connection that carried the refusal.
	if isCopyDue && s.when != afterAnswer && s.when != whileIdle && s.when != atOnce {
		_ = writeText(c, copied)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if isCopyDue && s.when == afterAnswer {
		answer += copied
	}
	return writeText(c, answer)
}

// idleCopyDelay lets the connection go back to the pool before the copy is written.
const idleCopyDelay = 5 * time.Millisecond

func emptyResponse(head string) string { return "HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n" }

// newCall returns an attempt of a call that is not idempotent, with the body that when
// needs.
func (s *copyingServer) newCall(b *scriptedServer, id string) *sender.Attempt {
	body := "body"
	if s.when == beforeBody {
		body = strings.Repeat("x", 1<<20)
	}
	a := newAttempt(b, http.MethodPost, body, false)
	if a.Request.Header.Set("Id", id); s.when == afterContinue {
		a.Request.Header.Set("Expect", "100-continue")
	}
	a.Call.RequestID = id
	return a
}

// waitUntilIdle returns when no connection to b is in use.
func waitUntilIdle(s *sender.Sender, b *scriptedServer) {
	for s.HasRecentExchange(b.addr(), 0) {
		time.Sleep(time.Millisecond)
	}
}

// sendRefusedCall sends a call that is refused and waits until its connection is idle or
// closed.
func sendRefusedCall(t *testing.T, s *sender.Sender, b *scriptedServer, a *sender.Attempt) {
	t.Helper()
	resp, err := s.Send(t.Context(), a)
	if err == nil || resp == nil {
		t.Fatalf("got %v, want a refusal", err)
	}
	_ = resp.Body.Close()
	waitUntilIdle(s, b)
}

// TestCopiedRefusal guards against a refusal that a backend server writes once more on a
// kept connection and that becomes the answer to a call that runs.
func TestCopiedRefusal(t *testing.T) {
	refusals := []struct{ name, head string }{
		{"503", "503 X\r\nProof: 1"},
		{"429", "429 X\r\nProof: 1"},
		{"408", "408 X\r\nProof: 1"},
		{"400", "400 X\r\nProof: 1"},
		{"421", "421 X"},
		{"unproven", "503 X"},
	}
	const nativeRefusal = "503 X\r\nSardine-Refused: 1"
	for _, when := range []copyTime{atOnce, whileIdle, atNextRequest, beforeBody, afterContinue, afterAnswer} {
		for _, r := range refusals {
			for _, id := range []string{"two", "one"} {
				name := fmt.Sprintf("%s %s to call %s", r.name, when, id)
				checkCopiedRefusal(t, name+", named", strictDialect{}, r.head+"\r\nId: one", r.head+"\r\nId: one", when, id)
				checkCopiedRefusal(t, name+", copy without name", strictDialect{}, r.head+"\r\nId: one", r.head, when, id)
			}
		}
		checkCopiedRefusal(t, fmt.Sprintf("native %s", when), translator.Native{}, nativeRefusal, nativeRefusal, when, "")
	}
}

// checkCopiedRefusal sends a call that is refused and then one with the given ID, which
// must get its own answer. A copy that names another call may also end the connection,
// but then the next call gets its answer.
func checkCopiedRefusal(t *testing.T, name string, d translator.Dialect, refusal, copied string, when copyTime, id string) {
	t.Run(name, func(t *testing.T) {
		script := &copyingServer{refusal: refusal, copied: copied, when: when}
		b := startServer(t, script.answer)
		s := &sender.Sender{Dialect: d}
		first := "one"
		if id == "" {
			first = ""
		}
		sendRefusedCall(t, s, b, script.newCall(b, first))
		for isFirst := true; ; isFirst = false {
			before := script.runCount.Load()
			resp, err := s.Send(t.Context(), script.newCall(b, id))
			var f *sender.Failure
			if ran := script.runCount.Load() > before; errors.As(err, &f) && f.Outcome == sender.Rejected && (ran || f.Reason != "write") {
				t.Fatalf("got %v for a call that runs", err)
			}
			if err != nil && isFirst && id != first {
				continue
			}
			if got := readBody(t, resp, err); got != "own" {
				t.Errorf("got %q, want own", got)
			}
			return
		}
	})
}

// TestCopiedRefusalOfProbe guards against the refusal of a probe that is written once more
// and becomes the answer to a call that runs.
func TestCopiedRefusalOfProbe(t *testing.T) {
	script := &copyingServer{refusal: "503 X\r\nSardine-Refused: 1", when: atNextRequest}
	script.copied = script.refusal
	b := startServer(t, script.answer)
	var s sender.Sender
	if metadata, err := s.ProbeServer(t.Context(), b.addr(), withholder.Lifetime{}, "/load", 250); err != nil || !metadata.Refused {
		t.Fatalf("got %+v, %v, want a refusal", metadata, err)
	}
	waitUntilIdle(&s, b)
	resp, err := s.Send(t.Context(), newAttempt(b, http.MethodPost, "", false))
	if got := readBody(t, resp, err); got != "own" {
		t.Errorf("got %q, want own", got)
	}
}

// TestRefusalBeforeRequest guards against a refusal that a backend server writes as soon as a
// connection opens and that becomes the answer to a call that runs.
func TestRefusalBeforeRequest(t *testing.T) {
	for _, head := range []string{"503 X\r\nProof: 1", "421 X", "503 X\r\nProof: 1\r\nId: old"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		b := &scriptedServer{Listener: &refusingListener{listener, emptyResponse(head)}, script: func(net.Conn, *http.Request, int, int) bool { return true }}
		go b.acceptConns()
		s := &sender.Sender{Dialect: strictDialect{}}
		for range 100 { // Some of the refusals arrive before the request is written.
			resp, err := s.Send(t.Context(), newNamedAttempt(b, "two"))
			if resp != nil {
				_ = resp.Body.Close()
			}
			var f *sender.Failure
			if !errors.As(err, &f) || f.Outcome == sender.Rejected && f.Reason != "write" {
				t.Fatalf("%q: got %v for a call that may run", head, err)
			}
		}
	}
}

// refusingListener accepts connections and writes the text refusal on each.
type refusingListener struct {
	net.Listener
	refusal string
}

func (l *refusingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = writeText(c, l.refusal)
	}
	return c, err
}
