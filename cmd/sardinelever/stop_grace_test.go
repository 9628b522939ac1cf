package main_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

// outcomeCaller sends a call and describes its answer.
type outcomeCaller struct {
	url, deadline string
	answer        chan string
}

func (c *outcomeCaller) run() {
	r, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader("order"))
	if err != nil {
		c.answer <- err.Error()
		return
	}
	r.Header.Set("Sardine-Deadline", c.deadline)
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		c.answer <- err.Error()
		return
	}
	_ = resp.Body.Close()
	c.answer <- fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("Sardine-Outcome"), " ", resp.Header.Get("Sardine-Reason"))
}

// TestStopWithinGrace guards against calls that are cut without an answer at the end of the
// grace time of a planned stop: those in flight when it begins, and those that come later
// and take longer than what is left. It also guards against calls that are ended sooner than
// the end of the grace time requires.
func TestStopWithinGrace(t *testing.T) {
	for _, c := range []graceTrial{
		{time.Millisecond, 1500 * time.Millisecond},
		{400 * time.Millisecond, 1500 * time.Millisecond},
		{2500 * time.Millisecond, 1500 * time.Millisecond}, // The notice is longer than the grace time.
	} {
		t.Run(fmt.Sprint(c.notice), c.run)
	}
}

// graceTrial is one case of TestStopWithinGrace.
type graceTrial struct{ notice, grace time.Duration }

func (c graceTrial) run(t *testing.T) {
	d := &deployment{arrived: make(chan bool, 9), release: make(chan bool, 9), answer: make(chan string, 1), grace: c.grace}
	d.start(t, c.notice, provisioner.ServerGroup{Service: parser.Service{Name: "guidance", Slots: 9}, ServerCount: 1, ServiceTime: d.holdCall})
	t.Cleanup(func() { close(d.release) })
	early := d.sendOutcomeCall("10000")
	<-d.arrived
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	kill := time.AfterFunc(c.grace, d.kill) // As the platform does.
	defer kill.Stop()
	d.awaitNotReady(t)
	if c.notice > 100*time.Millisecond {
		late, brief := d.sendOutcomeCall("10000"), d.sendOutcomeCall("200")
		if got, want := <-late, "503 rejected stopping"; got != want {
			t.Errorf("got %q for a call that cannot end before the process, want %q", got, want)
		}
		if got, want := <-brief, "504 unknown deadline"; got != want {
			t.Errorf("got %q for a call that ends before the process, want %q", got, want)
		}
	}
	if got, want := <-early, "502 unknown stopping"; got != want {
		t.Errorf("got %q for a call that was in flight, want %q", got, want)
	}
	// The platform excuses calls that are ended in the last sixth of the grace time.
	if got, want := time.Since(start), c.grace-c.grace/6; got < want {
		t.Errorf("got the call in flight ended after %v, want it served for %v", got, want)
	}
	<-d.Done()
	if got := d.Err(); got != nil {
		t.Errorf("got exit %v, want status 0 before the process is killed", got)
	}
	d.checkStopLog(t)
}

// checkStopLog checks that the log names the call that the stop has ended.
func (d *deployment) checkStopLog(t *testing.T) {
	t.Helper()
	log, err := os.ReadFile(d.LogPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`"calls":1,"message":"instance: stopping`,
		`"outcome":"unknown","atwork":true,`,
		`"message":"call: ended by the stop"`,
	} {
		if got := strings.Count(string(log), want); got != 1 {
			t.Errorf("got %d lines with %s, want 1:\n%s", got, want, log)
		}
	}
}

// sendOutcomeCall sends a call with a deadline in milliseconds and returns the channel for
// the description of its answer.
func (d *deployment) sendOutcomeCall(deadline string) <-chan string {
	caller := &outcomeCaller{d.CallersURL() + "/guidance/book", deadline, make(chan string, 1)}
	go caller.run()
	return caller.answer
}
