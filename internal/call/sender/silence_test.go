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

// learn makes short answers usual for the service, so that patience is short,
// and leaves one idle connection to b.
func learn(t *testing.T, s *sender.Sender, b *backend) {
	t.Helper()
	for range 100 {
		resp, err := s.Send(t.Context(), order(b, http.MethodGet, "", true))
		read(t, resp, err)
	}
}

// hush answers nothing until the connection closes.
func hush(c net.Conn) bool {
	_, _ = bufio.NewReader(c).ReadByte()
	return false
}

func repeatable(b *backend) *sender.Order {
	o := order(b, http.MethodGet, "", true)
	o.Repeat, o.Attempt = true, 2
	return o
}

// TestSilence guards against a repeatable call that stays on a silent
// connection, which used its slot until its deadline, and against later calls
// on the connections that went silent with it.
func TestSilence(t *testing.T) {
	var silent atomic.Int64 // Connections up to this number.
	met, closed := make(chan bool, 10), make(chan bool, 10)
	b := start(t, func(c net.Conn, _ *http.Request, number, _ int) bool {
		if int64(number) > silent.Load() {
			return write(c, hello)
		}
		met <- true
		closed <- hush(c)
		return false
	})
	var s sender.Sender
	learn(t, &s, b)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	// Two calls at a time leave two idle connections; then both are silent.
	for range 2 {
		first, err := s.Send(ctx, repeatable(b))
		second, err2 := s.Send(ctx, repeatable(b))
		if got := read(t, first, err) + read(t, second, err2); got != "hellohello" {
			t.Errorf("got answers %q, want hello twice", got)
		}
		for s.Active(b.addr(), 0) {
			time.Sleep(time.Millisecond) // Until both connections are idle.
		}
		silent.Store(b.conns.Load())
	}
	<-closed // The server saw that the first run was cancelled.
	if got := len(met); got != 1 {
		t.Errorf("got %d calls on silent connections, want 1", got)
	}
}

// TestRepeats guards against repeats without bound to a server that does not
// answer them, and against a repeat that counts as not run.
func TestRepeats(t *testing.T) {
	b := start(t, func(c net.Conn, r *http.Request, _, nth int) bool {
		switch {
		case r.Header.Get("Sardine-Attempt") == "1":
			return write(c, hello)
		case nth == 1:
			return write(c, strings.Replace(hello, "200 OK", "503 Busy\r\nSardine-Refused: 1", 1))
		default:
			return hush(c)
		}
	})
	var s sender.Sender
	learn(t, &s, b)
	const most = 22 // 20 tokens and what the calls of this test earn.
	for n := 0; ; n++ {
		if n > most {
			t.Fatalf("got more than %d repeats", most)
		}
		resp, err := s.Send(t.Context(), order(b, http.MethodGet, "", true))
		read(t, resp, err)
		for s.Active(b.addr(), 0) {
			time.Sleep(time.Millisecond) // Until the connection is idle; else the next call gets a new one.
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		resp, err = s.Send(ctx, repeatable(b))
		if resp != nil {
			read(t, resp, nil)
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
