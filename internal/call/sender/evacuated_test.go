package sender_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// waitingAttempt is an attempt that runs in a goroutine of its own.
type waitingAttempt struct {
	sender  *sender.Sender
	attempt *sender.Attempt
	result  chan error
}

func (w *waitingAttempt) run(ctx context.Context) {
	resp, err := w.sender.Send(ctx, w.attempt)
	if resp != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	w.result <- err
}

// TestEvacuationBeforeWrite guards against a request that is written after its zone was
// evacuated: on a kept connection, and while it waits for a connection; and against running
// requests that the order ends.
func TestEvacuationBeforeWrite(t *testing.T) {
	release := make(chan struct{})
	b := startServer(t, func(c net.Conn, r *http.Request, _, _ int) bool {
		if r.Header.Get("Id") == "running" {
			<-release
		}
		return writeText(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
	})
	s := newLeavingSender()
	newZoned := func(id string) *sender.Attempt {
		a := newLivedAttempt(b, http.MethodPost, id)
		a.Zone, a.Call.Service.Connections = "z0", 2
		return a
	}
	var all []*waitingAttempt
	for range 2 { // They use all connections.
		w := &waitingAttempt{s, newZoned("running"), make(chan error, 1)}
		go w.run(t.Context())
		all = append(all, w)
	}
	for end := time.Now().Add(5 * time.Second); b.requestCount.Load() < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the requests do not run")
		}
	}
	blocked := &waitingAttempt{s, newZoned("blocked"), make(chan error, 1)}
	go blocked.run(t.Context())
	s.Withholder.SetEvacuatedZones(time.Now(), []string{"z0"})
	checkNotSent(t, <-blocked.result)
	close(release)
	for _, w := range all {
		if err := <-w.result; err != nil {
			t.Errorf("got %v for a request that ran when the order came, want its answer", err)
		}
	}
	_, err := s.Send(t.Context(), newZoned("late"))
	checkNotSent(t, err)
	if got := b.requestCount.Load(); got != 2 {
		t.Errorf("got %d requests at the server, want the 2 from before the order", got)
	}
	s.Withholder.SetEvacuatedZones(time.Now(), nil)
	if _, err := s.Send(t.Context(), newZoned("lifted")); err != nil {
		t.Errorf("got %v after the end of the evacuation, want an answer", err)
	}
}

// checkNotSent checks that err says that nothing was sent, so that another server is chosen.
func checkNotSent(t *testing.T, err error) {
	t.Helper()
	var f *sender.Failure
	if !errors.As(err, &f) || f.Outcome != sender.Rejected || !errors.Is(err, sender.ErrWithheld) {
		t.Errorf("got %v, want rejected as withheld", err)
	}
}
