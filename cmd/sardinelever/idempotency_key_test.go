package main_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/certifier"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// processes is a deployment of three instance processes that are linked over TLS.
type processes struct {
	t         *testing.T
	testbed   provisioner.Testbed
	instances map[string]*launcher.Instance
	names     []string
	arrived   chan bool     // Receives a value when a call without a service time runs.
	release   chan struct{} // Closed to end such calls.
}

func startProcesses(t *testing.T) *processes {
	p := &processes{t: t, instances: make(map[string]*launcher.Instance), arrived: make(chan bool, 1), release: make(chan struct{})}
	p.testbed.Groups = []provisioner.ServerGroup{{Service: parser.Service{Name: "deposits", Slots: 2}, ServerCount: 2, ServiceTime: p.holdCall}}
	p.requireNoError(p.testbed.Start())
	t.Cleanup(p.testbed.Stop)
	t.Cleanup(func() { close(p.release) })
	l := &launcher.Launcher{Dir: t.TempDir()}
	p.requireNoError(l.BuildBinary())
	var keys certifier.CertificateAuthority
	var settings []*parser.Settings
	for _, zone := range []string{"a", "b", "c"} {
		files, err := keys.IssueFiles(t.TempDir())
		p.requireNoError(err)
		// The shortest margin that is allowed, because a place runs no calls for that
		// long after its start.
		s := &parser.Settings{Name: "entry-" + zone, Zone: zone, Platform: p.testbed.PlatformURL, TLS: files, Margin: parser.Duration(15 * time.Second)}
		p.requireNoError(launcher.ReservePorts(s))
		settings, p.names = append(settings, s), append(p.names, s.Name)
		p.testbed.ListEntries = append(p.testbed.ListEntries, reader.Entry{Name: s.Name, Address: s.Callers, PeerAddr: s.Peers, Zone: zone, Region: "home"})
	}
	p.testbed.Platform.SetList(p.testbed.ListEntries)
	for _, s := range settings {
		i, err := l.StartInstance(s)
		p.requireNoError(err)
		t.Cleanup(func() { _ = i.Signal(syscall.SIGKILL) })
		p.instances[s.Name] = i
	}
	for _, i := range p.instances {
		p.requireNoError(i.WaitReady(20 * time.Second))
	}
	return p
}

func (p *processes) requireNoError(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

// holdCall is the service time of calls without one: it blocks until release is
// closed.
func (p *processes) holdCall() time.Duration {
	p.arrived <- true
	<-p.release
	return 0
}

// newKey returns a new idempotency key whose place is the instance named place.
func (p *processes) newKey(place string) string {
	for {
		id, err := uuid.NewV7()
		p.requireNoError(err)
		if hasher.TopName(id.String(), p.names) == place {
			return id.String()
		}
	}
}

// awaitPlace sends calls to instance until one is not rejected with the reason
// moved, and returns the idempotency key of that call and its answer. Each call has
// a new idempotency key whose place, the instance that may execute the call, is the
// instance named place.
func (p *processes) awaitPlace(place, instance, payload string) (id string, first answer) {
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		id = p.newKey(place)
		if first = p.sendCall(instance, id, "2000", payload); first.reason != "moved" {
			return id, first
		}
		if got := p.runCount(id); got != 0 {
			p.t.Errorf("%s: got %d runs before its place may run calls, want 0", id, got)
		}
	}
	p.t.Fatalf("%s did not become a place within a minute", place)
	return "", first
}

// answer is the part of a response that the tests compare.
type answer struct {
	status                          int
	instance, outcome, reason, took string
	body                            string
}

// sendCall sends a call with an idempotency key to instance. Its service time is
// took microseconds, and the response repeats payload. If took is empty, the
// backend server holds the call until release is closed.
func (p *processes) sendCall(instance, id, took, payload string) (a answer) {
	r, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, p.instances[instance].CallersURL()+"/deposits/new", strings.NewReader("deposit"))
	if err != nil {
		p.t.Error(err)
		return a
	}
	r.Header.Set("Sardine-Id", id)
	r.Header.Set(worker.CallHeader, payload)
	if took != "" {
		r.Header.Set(worker.ServiceTimeHeader, took)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		p.t.Error(err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Error(err)
	}
	h := resp.Header
	return answer{
		status: resp.StatusCode, instance: h.Get("Sardine-Instance"), outcome: h.Get("Sardine-Outcome"),
		reason: h.Get("Sardine-Reason"), took: h.Get(worker.RunTimeHeader), body: string(body),
	}
}

// runCount returns how often the backend servers ran the call with idempotency
// key id.
func (p *processes) runCount(id string) (n int) {
	for _, w := range p.testbed.Servers["deposits"] {
		n += w.RunCount(id)
	}
	return n
}

// issueKey requests a new idempotency key from instance.
func (p *processes) issueKey(instance string) string {
	resp, err := http.Get(p.instances[instance].CallersURL() + "/sardine/id")
	p.requireNoError(err)
	defer func() { _ = resp.Body.Close() }()
	id, err := io.ReadAll(resp.Body)
	p.requireNoError(err)
	return strings.TrimSpace(string(id))
}

// checkRunsOnce repeats a call whose first answer was first. It checks that the call
// ran once, at the first instance, and that the repeat gets the same answer.
func (p *processes) checkRunsOnce(instance, id, payload string, first answer) {
	if first.status != http.StatusOK || first.instance != p.names[0] || !strings.HasSuffix(first.body, payload+"\n") {
		p.t.Errorf("%s: got %.300s, want status 200 from %s with the payload", id, fmt.Sprintf("%+v", first), p.names[0])
	}
	if got := p.sendCall(instance, id, "2000", payload); got != first {
		p.t.Errorf("repeat of %s: got %.300s, want the first answer %.300s", id, fmt.Sprintf("%+v", got), fmt.Sprintf("%+v", first))
	}
	if got := p.runCount(id); got != 1 {
		p.t.Errorf("%s: got %d runs, want 1", id, got)
	}
}

// checkUnknown repeats a call and checks that its outcome is unknown and that it does
// not run again. An empty reason matches any reason.
func (p *processes) checkUnknown(instance, id, reason string) {
	p.t.Helper()
	a := p.sendCall(instance, id, "1000", "")
	if a.outcome != "unknown" || reason != "" && a.reason != reason || a.status != http.StatusBadGateway {
		p.t.Errorf("repeat of %s at %s: got %+v, want status 502, outcome unknown, reason %s", id, instance, a, reason)
	}
	if got := p.runCount(id); got != 1 {
		p.t.Errorf("%s: got %d runs, want 1", id, got)
	}
}

// TestIdentifiedCalls guards against an identified call that runs twice because it
// was sent to two instances or because its place was killed, and against a repeat
// that gets a different or an incomplete answer.
func TestIdentifiedCalls(t *testing.T) {
	p := startProcesses(t)
	place, others := p.names[0], p.names[1:]
	payload := strings.Repeat("0123456789", 2000)
	made, first := p.awaitPlace(place, others[0], payload)
	issued := p.issueKey(place)
	p.checkRunsOnce(others[1], made, payload, first)
	p.checkRunsOnce(others[1], issued, payload, p.sendCall(others[0], issued, "2000", payload))
	running := p.newKey(place)
	c := &heldCall{processes: p, instance: others[0], id: running, answer: make(chan answer, 1)}
	go c.sendHeldCall()
	select {
	case <-p.arrived:
	case got := <-c.answer:
		t.Fatalf("got %+v before the backend server ran the call", got)
	}
	p.requireNoError(p.instances[place].Signal(syscall.SIGKILL))
	<-p.instances[place].Done()
	if got := <-c.answer; got.outcome != "unknown" {
		t.Errorf("call whose place was killed: got %+v, want outcome unknown", got)
	}
	for _, id := range []string{made, issued, running} {
		for _, n := range others {
			p.checkUnknown(n, id, "place")
		}
	}
	p.replacePlace(place, made, others)
	for _, id := range []string{made, issued, running} {
		for _, n := range others {
			p.checkUnknown(n, id, "")
		}
	}
}

// replacePlace removes the killed place from the platform's list and waits until
// another instance is the place of id.
func (p *processes) replacePlace(place, id string, others []string) {
	var left []reader.Entry
	for _, e := range p.testbed.ListEntries {
		if e.Name != place {
			left = append(left, e)
		}
	}
	p.testbed.Platform.SetList(left)
	next := hasher.TopName(id, others)
	for end := time.Now().Add(20 * time.Second); p.sendCall(next, id, "1000", "").reason != "moved"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s has not applied the new list", next)
		}
	}
}

// heldCall is a call that the backend server holds.
type heldCall struct {
	*processes
	instance, id string
	answer       chan answer
}

func (h *heldCall) sendHeldCall() { h.answer <- h.sendCall(h.instance, h.id, "", "") }
