package sender_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// recordShortLatencies sends enough calls with short latencies for the first-byte
// timeout to be short, and leaves one idle connection to b.
func recordShortLatencies(t *testing.T, s *sender.Sender, b *scriptedServer) {
	t.Helper()
	for range 100 {
		resp, err := s.Send(t.Context(), newAttempt(b, http.MethodGet, "", true))
		readBody(t, resp, err)
	}
}

// waitForClose sends nothing and returns when the connection is closed.
func waitForClose(c net.Conn) bool {
	_, _ = bufio.NewReader(c).ReadByte()
	return false
}

func newResendableAttempt(b *scriptedServer) *sender.Attempt {
	a := newAttempt(b, http.MethodGet, "", true)
	a.AllowResend, a.Number = true, 2
	return a
}

// TestResendOnSilentConnection guards against a call with AllowResend that stays on
// a silent connection and so occupies its slot until its deadline, and against
// later calls on the other connections that became silent at the same time.
func TestResendOnSilentConnection(t *testing.T) {
	var silent atomic.Int64 // Connections up to this number are silent.
	silentCalls, closed := make(chan bool, 10), make(chan bool, 10)
	b := startServer(t, func(c net.Conn, _ *http.Request, connNumber, _ int) bool {
		if int64(connNumber) > silent.Load() {
			return writeText(c, helloResponse)
		}
		silentCalls <- true
		closed <- waitForClose(c)
		return false
	})
	var s sender.Sender
	recordShortLatencies(t, &s, b)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	// Two calls at the same time leave two idle connections, which are silent in
	// the second round.
	for range 2 {
		first, err := s.Send(ctx, newResendableAttempt(b))
		second, err2 := s.Send(ctx, newResendableAttempt(b))
		if got := readBody(t, first, err) + readBody(t, second, err2); got != "hellohello" {
			t.Errorf("got responses %q, want hello twice", got)
		}
		for s.HasRecentExchange(b.addr(), 0) {
			time.Sleep(time.Millisecond) // Until both connections are idle.
		}
		silent.Store(b.connCount.Load())
	}
	<-closed // Waits until the sender has closed the silent connection, which lets the backend server cancel the first send of the call.
	if got := len(silentCalls); got != 1 {
		t.Errorf("got %d calls on silent connections, want 1", got)
	}
}

// TestResendLimit guards against an unlimited number of resends to a backend server
// that refuses them, and against the outcome rejected for a call whose first send
// may have run.
func TestResendLimit(t *testing.T) {
	b := startServer(t, func(c net.Conn, r *http.Request, _, requestNumber int) bool {
		switch {
		case r.Header.Get("Sardine-Attempt") == "1":
			return writeText(c, helloResponse)
		case requestNumber == 1:
			return writeText(c, strings.Replace(helloResponse, "200 OK", "503 Busy\r\nSardine-Refused: 1", 1))
		default:
			return waitForClose(c)
		}
	})
	var s sender.Sender
	recordShortLatencies(t, &s, b)
	const maxResends = 22 // 20 tokens and those that the calls of this test add.
	for n := 0; ; n++ {
		if n > maxResends {
			t.Fatalf("got more than %d resends", maxResends)
		}
		resp, err := s.Send(t.Context(), newAttempt(b, http.MethodGet, "", true))
		readBody(t, resp, err)
		for s.HasRecentExchange(b.addr(), 0) {
			time.Sleep(time.Millisecond) // Until the connection is idle; otherwise the next call opens a new one.
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		resp, err = s.Send(ctx, newResendableAttempt(b))
		if resp != nil {
			readBody(t, resp, nil)
		}
		cancel()
		var f *sender.Failure
		if !errors.As(err, &f) || f.Outcome != sender.Unknown {
			t.Fatalf("got error %v, want unknown", err)
		}
		if f.Reason == "deadline" {
			return
		}
	}
}
