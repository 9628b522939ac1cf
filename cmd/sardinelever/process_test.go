package main_test

import (
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/stager"
)

// TestProcess guards against an instance process that does not carry a call
// from a caller to a backend server, or that cuts it off while it stops.
func TestProcess(t *testing.T) {
	release := make(chan time.Time)
	s := &stager.Stager{Groups: []stager.Group{{
		Service: parser.Service{Name: "guidance", Slots: 2}, Count: 2,
		Time: func() time.Duration { <-release; return 0 },
	}}}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	defer s.Stop()
	l := &launcher.Launcher{Dir: t.TempDir()}
	if err := l.Build(); err != nil {
		t.Fatal(err)
	}
	i, err := l.Start(&parser.Settings{Name: "one", Zone: "a", Platform: s.URL, Notice: parser.Duration(time.Millisecond), Plain: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = i.Signal(syscall.SIGKILL) }()
	if err := i.Await(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	answer := make(chan string, 1)
	c := &caller{url: i.URL() + "/guidance/book", answer: answer}
	go c.run()
	select {
	case release <- time.Time{}: // The call is at the backend server.
	case got := <-answer:
		t.Fatalf("got answer %q before the backend server ran the call", got)
	}
	if err := i.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	close(release)
	if got, want := <-answer, "guidance-0 POST /book 5\n"; got != want {
		t.Errorf("got answer %q, want %q", got, want)
	}
	<-i.Done()
	if got := i.Err(); got != nil {
		t.Errorf("got exit %v, want status 0", got)
	}
}

type caller struct {
	url    string
	answer chan<- string
}

func (c *caller) run() {
	resp, err := http.Post(c.url, "text/plain", strings.NewReader("order"))
	if err != nil {
		c.answer <- err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	c.answer <- string(text)
}
