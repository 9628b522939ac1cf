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
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

// TestGracefulStop guards against an instance process that does not send a call to a
// backend server, or that interrupts the call during a graceful shutdown.
func TestGracefulStop(t *testing.T) {
	d := startDeployment(t)
	d.startHeldCall(t)
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitNotReady(t)
	d.awaitListenerClosed(t)
	d.release <- true
	if got, want := <-d.answer, "guidance-0 POST /book 5\n"; got != want {
		t.Errorf("got answer %q, want %q", got, want)
	}
	<-d.Done()
	if got := d.Err(); got != nil {
		t.Errorf("got exit %v, want status 0", got)
	}
}

// TestSecondSignal guards against an instance process that does not end at a second
// signal while its graceful shutdown waits for a call in flight.
func TestSecondSignal(t *testing.T) {
	for _, second := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		d := startDeployment(t)
		d.startHeldCall(t)
		if err := d.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		d.awaitNotReady(t)
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

// deployment is an instance process with one backend server, which holds each call
// until release receives a value.
type deployment struct {
	*launcher.Instance
	testbed          *provisioner.Testbed
	binary           string
	arrived, release chan bool
	answer           chan string
	grace            time.Duration // Time from SIGTERM to SIGKILL; 0 means none.
}

func startDeployment(t *testing.T) *deployment {
	d := &deployment{arrived: make(chan bool, 1), release: make(chan bool, 1), answer: make(chan string, 1)}
	d.start(t, time.Millisecond, provisioner.ServerGroup{Service: parser.Service{Name: "guidance", Slots: 2}, ServerCount: 1, ServiceTime: d.holdCall})
	return d
}

// start starts the instance process with the given notice time and backend servers and
// waits until it is ready.
func (d *deployment) start(t *testing.T, notice time.Duration, servers provisioner.ServerGroup) {
	testbed := &provisioner.Testbed{Groups: []provisioner.ServerGroup{servers}}
	if err := testbed.Start(); err != nil {
		t.Fatal(err)
	}
	d.testbed = testbed
	t.Cleanup(testbed.Stop)
	l := &launcher.Launcher{Dir: t.TempDir()}
	if err := l.BuildBinary(); err != nil {
		t.Fatal(err)
	}
	d.binary = l.BinaryPath()
	settings := &parser.Settings{Name: "one", Zone: "a", Platform: testbed.PlatformURL, Notice: parser.Duration(notice), Grace: parser.Duration(d.grace), Plain: true}
	err := launcher.ReservePorts(settings)
	if err != nil {
		t.Fatal(err)
	}
	testbed.ListEntries = append(testbed.ListEntries, reader.Entry{Name: "one", Address: settings.Callers, PeerAddr: settings.Peers, Zone: "a", Region: "home"})
	testbed.Platform.SetList(testbed.ListEntries)
	if d.Instance, err = l.StartInstance(settings); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.kill)
	if err := d.WaitReady(20 * time.Second); err != nil {
		t.Fatal(err)
	}
}

func (d *deployment) kill() {
	_ = d.Signal(syscall.SIGKILL)
	<-d.Done()
}

// holdCall is the service time of the backend server: it blocks until the call is
// released.
func (d *deployment) holdCall() time.Duration {
	d.arrived <- true
	<-d.release
	return 0
}

// startHeldCall sends a call and waits until the backend server runs it.
func (d *deployment) startHeldCall(t *testing.T) {
	t.Helper()
	c := &heldCaller{url: d.CallersURL() + "/guidance/book", answer: d.answer}
	go c.sendCall()
	select {
	case <-d.arrived:
	case got := <-d.answer:
		t.Fatalf("got answer %q before the backend server ran the call", got)
	}
}

// awaitNotReady waits until the instance reports that it is not ready, which means
// that it has handled the first signal.
func (d *deployment) awaitNotReady(t *testing.T) {
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

// awaitListenerClosed waits until the listener for callers is closed. Only after that
// could the shutdown interrupt a call.
func (d *deployment) awaitListenerClosed(t *testing.T) {
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

// heldCaller sends a call that the backend server holds.
type heldCaller struct {
	url    string
	answer chan<- string
}

func (h *heldCaller) sendCall() {
	resp, err := http.Post(h.url, "text/plain", strings.NewReader("order"))
	if err != nil {
		h.answer <- err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	h.answer <- string(text)
}
