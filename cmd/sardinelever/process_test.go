package main_test

import (
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/stager"
)

// TestProcess guards against an instance process that does not carry a call
// from a caller to a backend server, or that cuts it off while it stops.
func TestProcess(t *testing.T) {
	d := deploy(t)
	d.hold(t)
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitStop(t)
	d.awaitClosed(t)
	d.release <- true
	if got, want := <-d.answer, "guidance-0 POST /book 5\n"; got != want {
		t.Errorf("got answer %q, want %q", got, want)
	}
	<-d.Done()
	if got := d.Err(); got != nil {
		t.Errorf("got exit %v, want status 0", got)
	}
}

// TestSecondSignal guards against an instance process that an operator cannot
// end while a call in flight holds its graceful stop.
func TestSecondSignal(t *testing.T) {
	for _, second := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		d := deploy(t)
		d.hold(t)
		if err := d.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		d.awaitStop(t)
		if err := d.Signal(second); err != nil {
			t.Fatal(err)
		}
		<-d.Done()
		var e *exec.ExitError
		if got := d.Err(); !errors.As(got, &e) || e.ExitCode() != 3 {
			t.Errorf("got exit %v after a second %v, want status 3", got, second)
		}
		d.release <- true
		<-d.answer
	}
}

// deployment is an instance process with one backend server, which holds a
// call until it is released.
type deployment struct {
	*launcher.Instance
	stager           *stager.Testbed
	binary           string
	arrived, release chan bool
	answer           chan string
}

func deploy(t *testing.T) *deployment {
	d := &deployment{arrived: make(chan bool, 1), release: make(chan bool, 1), answer: make(chan string, 1)}
	s := &stager.Testbed{Groups: []stager.ServerGroup{{
		Service: parser.Service{Name: "guidance", Slots: 2}, ServerCount: 1, ServiceTime: d.wait,
	}}}
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	d.stager = s
	t.Cleanup(s.Stop)
	l := &launcher.Launcher{Dir: t.TempDir()}
	if err := l.BuildBinary(); err != nil {
		t.Fatal(err)
	}
	d.binary = l.BinaryPath()
	settings := &parser.Settings{Name: "one", Zone: "a", Platform: s.PlatformURL, Notice: parser.Duration(time.Millisecond), Plain: true}
	err := launcher.ReservePorts(settings)
	if err != nil {
		t.Fatal(err)
	}
	s.ListEntries = append(s.ListEntries, reader.Entry{Name: "one", Address: settings.Callers, Peer: settings.Peers, Zone: "a", Region: "home"})
	s.Platform.SetList(s.ListEntries)
	if d.Instance, err = l.StartInstance(settings); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.kill)
	if err := d.WaitReady(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	return d
}

func (d *deployment) kill() {
	_ = d.Signal(syscall.SIGKILL)
	<-d.Done()
}

func (d *deployment) wait() time.Duration {
	d.arrived <- true
	<-d.release
	return 0
}

// hold sends a call and returns when the backend server runs it.
func (d *deployment) hold(t *testing.T) {
	t.Helper()
	c := &caller{url: d.CallersURL() + "/guidance/book", answer: d.answer}
	go c.run()
	select {
	case <-d.arrived:
	case got := <-d.answer:
		t.Fatalf("got answer %q before the backend server ran the call", got)
	}
}

// awaitStop returns when the instance has taken in the first signal.
func (d *deployment) awaitStop(t *testing.T) {
	t.Helper()
	for {
		resp, err := http.Get("http://" + d.Settings.Operator.String() + "/ready")
		if err != nil {
			t.Fatalf("got error %v, want a readiness answer while a call is in flight", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// awaitClosed waits until the callers' listener is closed: only then did the
// instance reach the part of its stop that could cut off a call.
func (d *deployment) awaitClosed(t *testing.T) {
	t.Helper()
	for {
		c, err := net.Dial("tcp", d.Settings.Callers.String())
		if err != nil {
			return
		}
		_ = c.Close()
		time.Sleep(time.Millisecond)
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
