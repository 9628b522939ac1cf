package runner_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/injector"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/publisher"
)

// deployment is an instance with backend servers, each behind a fault injector. It
// is also the HTTP handler of the backend servers.
type deployment struct {
	t              testing.TB
	url            string
	operator       string // URL of the listener for operators.
	injectors      []*injector.FaultInjector
	firstServer    netip.AddrPort // Address of the fault injector of the first backend server.
	runCount       atomic.Int64
	arrived        chan bool // Receives a value for each call to /hold or /note.
	cancelled      chan bool // Receives a value for each call to /hold that was cancelled.
	platform       publisher.Platform
	idempotencyKey string    // Idempotency key of the calls; empty for none.
	slots          int       // Slots of each backend server.
	memory         int       // Setting of the instance.
	readBody       chan bool // Closed when calls to /unread may end.
}

func startDeployment(t testing.TB, servers int) *deployment {
	d := &deployment{t: t, arrived: make(chan bool, 100), cancelled: make(chan bool, 100), slots: 50}
	d.start(servers)
	return d
}

// start starts the backend servers and the instance.
func (d *deployment) start(servers int) {
	t := d.t
	entries := make([]reader.Entry, 0, servers)
	for i := range servers {
		s := httptest.NewServer(d)
		t.Cleanup(s.CloseClientConnections)
		proxy := &injector.FaultInjector{ServerAddr: netip.MustParseAddrPort(s.Listener.Addr().String()), Resume: make(chan struct{})}
		addr, err := proxy.Start()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(proxy.Stop)
		if i == 0 {
			d.firstServer = addr
		}
		d.injectors = append(d.injectors, proxy)
		entries = append(entries, reader.Entry{Name: fmt.Sprint("s-", i), Address: addr, Zone: "a", Region: "home", Service: "s"})
	}
	d.platform.SetList(entries)
	text, err := parser.FormatBundle(&parser.Bundle{Version: 1, Services: []parser.Service{{
		Name: "s", Slots: d.slots, Routes: []parser.Route{{Path: "/", Methods: []string{http.MethodGet, http.MethodHead}, Idempotent: true}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	d.platform.PublishBundle(text)
	d.startInstance()
}

func (d *deployment) startInstance() {
	p := httptest.NewServer(&d.platform)
	ctx, cancel := context.WithCancel(context.Background())
	settings := &parser.Settings{Name: "one", Zone: "a", Platform: p.URL, Notice: parser.Duration(time.Millisecond), Plain: true, Memory: parser.Figure(d.memory)}
	if err := launcher.ReservePorts(settings); err != nil {
		d.t.Fatal(err)
	}
	i := &instance{ended: make(chan error, 1)}
	i.Settings, i.Log = settings, &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	go i.run(ctx)
	d.t.Cleanup(func() {
		cancel()
		<-i.ended
		p.Close()
	})
	r := &i.Instance
	for !r.Ready() {
		time.Sleep(time.Millisecond)
	}
	d.url = "http://" + r.CallersAddress().String() + "/s"
	d.operator = "http://" + settings.Operator.String()
}

// instance is an instance that runs in the test process.
type instance struct {
	runner.Instance
	ended chan error
}

func (i *instance) run(ctx context.Context) { i.ended <- i.Run(ctx) }

// ServeHTTP handles a call at a backend server.
func (d *deployment) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.runCount.Add(1)
	switch r.URL.Path {
	case "/refuse":
		w.Header().Set("Sardine-Refused", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/pause":
		w.Header().Set("Sardine-Refused", "1")
		w.Header().Set("Retry-After", "30.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/foreign":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/hold":
		_, _ = io.Copy(io.Discard, r.Body)
		d.arrived <- true
		<-r.Context().Done()
		d.cancelled <- true
	case "/stream":
		c := http.NewResponseController(w)
		_ = c.EnableFullDuplex()
		_, _ = io.WriteString(w, "begun")
		_ = c.Flush()
		_, _ = io.Copy(w, r.Body)
	case "/unread":
		d.arrived <- true
		<-d.readBody
	case "/note":
		d.arrived <- true
		_, _ = io.WriteString(w, "noted")
	case "/early":
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.Header().Set("Link", "hint")
		w.WriteHeader(http.StatusEarlyHints)
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}
}

// sendCall sends a call and describes the response that the caller gets.
func (d *deployment) sendCall(ctx context.Context, method, path, body, deadline string) string {
	r, err := http.NewRequestWithContext(ctx, method, d.url+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	if deadline != "" {
		r.Header.Set("Sardine-Deadline", deadline)
	}
	if d.idempotencyKey != "" {
		r.Header.Set("Sardine-Id", d.idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if o := resp.Header.Get("Sardine-Outcome"); o != "" {
		return strings.TrimSpace(fmt.Sprintf("%d %s %s", resp.StatusCode, o, resp.Header.Get("Sardine-Reason")))
	}
	if err != nil {
		return "cut"
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, text)
}

// TestFailurePoints guards against failures that are reported to the caller with a
// wrong outcome, in particular a call that may have run and is reported as rejected.
func TestFailurePoints(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	tests := []struct {
		name     string
		fault    injector.Fault
		path     string
		body     string
		deadline string
		want     string // Alternatives are separated by |.
	}{
		{name: "no fault", path: "/echo", body: "b", want: "200 b"},
		{name: "reset before the request", fault: injector.Fault{Kind: injector.ResetConn, ResponseBytes: -1}, path: "/echo", want: "502 unknown read"},
		{name: "reset within the request", fault: injector.Fault{Kind: injector.ResetConn, RequestBytes: 30, ResponseBytes: -1}, path: "/echo", body: "b", want: "502 unknown read"},
		{name: "reset before the answer", fault: injector.Fault{Kind: injector.ResetConn, RequestBytes: -1}, path: "/echo", body: "b", want: "502 unknown read"},
		{name: "silence before the request", fault: injector.Fault{Kind: injector.HoldBytes, ResponseBytes: -1}, path: "/echo", body: "b", deadline: "200", want: "504 unknown deadline"},
		{name: "late answer", fault: injector.Fault{Kind: injector.HoldBytes, RequestBytes: -1}, path: "/echo", body: "b", deadline: "200", want: "504 unknown deadline"},
		{name: "header cut", fault: injector.Fault{Kind: injector.ResetConn, RequestBytes: -1, ResponseBytes: 20}, path: "/echo", body: "b", want: "502 unknown read"},
		{name: "body cut", fault: injector.Fault{Kind: injector.ResetConn, RequestBytes: -1, ResponseBytes: 50_000}, path: "/echo", body: long, want: "cut|no answer"},
		{name: "body silent", fault: injector.Fault{Kind: injector.HoldBytes, RequestBytes: -1, ResponseBytes: 50_000}, path: "/echo", body: long, deadline: "500", want: "cut|no answer"},
		{name: "documented refusal", path: "/refuse", body: "b", want: "503 rejected refused"},
		{name: "foreign 503", path: "/foreign", body: "b", want: "503 failed"},
		{name: "answer twice", fault: injector.Fault{Kind: injector.DuplicateReads, RequestBytes: -1, ResponseBytes: -1}, path: "/early", want: "413 "},
		{name: "answer before the body", path: "/early", body: long + long, want: "413 |502 unknown read"},
		{name: "deadline before sending", path: "/echo", body: "b", deadline: "0", want: "504 rejected deadline"},
		{name: "deadline after sending", path: "/hold", body: "b", deadline: "200", want: "504 unknown deadline"},
		{name: "bad header", path: "/echo", deadline: "soon", want: "400 rejected header"},
		{name: "unknown service", path: "x/echo", want: "404 rejected service"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, 1)
			proxy := d.injectors[0]
			proxy.SetFault(tt.fault)
			got := d.sendCall(t.Context(), http.MethodPost, tt.path, tt.body, tt.deadline)
			if !strings.Contains("|"+tt.want+"|", "|"+got+"|") {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if d.runCount.Load() > 1 || strings.Contains(got, "rejected") && tt.path != "/refuse" && d.runCount.Load() > 0 {
				t.Errorf("got %d runs for %q", d.runCount.Load(), got)
			}
			proxy.SetFault(injector.Fault{})
			close(proxy.Resume) // The delayed responses arrive now and must not reach the next call.
			for range 3 {
				if got, want := d.sendCall(t.Context(), http.MethodPost, "/echo", "next", ""), "200 next"; got != want {
					t.Errorf("got %q for the next call, want %q", got, want)
				}
			}
		})
	}
}

// TestRefusedConnection guards against a call that is not reported as rejected, or is
// not retried at another backend server, after a refused connection.
func TestRefusedConnection(t *testing.T) {
	d := startDeployment(t, 1)
	d.injectors[0].Stop()
	if got, want := d.sendCall(t.Context(), http.MethodPost, "/echo", "b", ""), "503 rejected connect"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	d = startDeployment(t, 2)
	d.injectors[0].Stop()
	for range 5 {
		if got, want := d.sendCall(t.Context(), http.MethodPost, "/echo", "b", ""), "200 b"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestSilentServer guards against a GET call that waits until its deadline because
// one backend server does not respond.
func TestSilentServer(t *testing.T) {
	d := startDeployment(t, 2)
	d.injectors[0].SetFault(injector.Fault{Kind: injector.HoldBytes, ResponseBytes: -1})
	for range 3 {
		if got, want := d.sendCall(t.Context(), http.MethodGet, "/echo", "", "20000"), "200 "; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestCallerDisconnects guards against a call that continues to run at the backend
// server after its caller has closed the connection.
func TestCallerDisconnects(t *testing.T) {
	d := startDeployment(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	c := &canceler{arrived: d.arrived, cancel: cancel}
	go c.cancelOnArrival()
	if got, want := d.sendCall(ctx, http.MethodPost, "/hold", "b", ""), "no answer"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	<-d.cancelled
}

// canceler cancels a call when it has arrived at the backend server.
type canceler struct {
	arrived <-chan bool
	cancel  func()
}

func (c *canceler) cancelOnArrival() {
	<-c.arrived
	c.cancel()
}

// TestSlowBody guards against a call that continues after its deadline because its
// caller does not send the rest of the body.
func TestSlowBody(t *testing.T) {
	d := startDeployment(t, 1)
	addr, _, _ := strings.Cut(strings.TrimPrefix(d.url, "http://"), "/")
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /s/echo HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\nSardine-Deadline: 200\r\n\r\npart")
	text, _ := io.ReadAll(c)
	if !strings.Contains(string(text), " 504 ") || !strings.Contains(string(text), "Sardine-Outcome: unknown") {
		t.Errorf("got %q, want 504 with outcome unknown", text)
	}
}

// TestEarlyHints guards against 1xx responses that are lost or end the call.
func TestEarlyHints(t *testing.T) {
	d := startDeployment(t, 1)
	hints := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
		if code == http.StatusEarlyHints && h.Get("Link") == "hint" {
			hints++
		}
		return nil
	}})
	if got, want := d.sendCall(ctx, http.MethodPost, "/echo", "b", ""), "200 b"; got != want || hints != 1 {
		t.Errorf("got %q with %d hints, want %q with 1", got, hints, want)
	}
}

// TestConcurrentResponses guards against a response that reaches the wrong
// caller when many calls share connections and some of them are cancelled or
// miss their deadlines.
func TestConcurrentResponses(t *testing.T) {
	d := startDeployment(t, 2)
	var g sync.WaitGroup
	var completeResponses atomic.Int64
	for caller := range 16 {
		c := &concurrentCaller{deployment: d, caller: caller, completeResponses: &completeResponses}
		g.Go(c.sendCalls)
	}
	g.Wait()
	if completeResponses.Load() < 16*40*3/5 {
		t.Errorf("got %d complete answers, want at least three in five", completeResponses.Load())
	}
}

// concurrentCaller is one of several callers that send calls at the same time.
type concurrentCaller struct {
	*deployment
	caller            int
	completeResponses *atomic.Int64 // Number of complete responses to all callers.
}

func (c *concurrentCaller) sendCalls() {
	for i := range 40 {
		body := strings.Repeat(fmt.Sprintf("%d.%d ", c.caller, i), 1+rand.IntN(2000))
		path, deadline := "/echo", ""
		switch i % 5 {
		case 1:
			path, deadline = "/hold", "5"
		case 2:
			deadline = fmt.Sprint(1 + rand.IntN(5))
		}
		got := c.sendCall(c.t.Context(), http.MethodPost, path, body, deadline)
		if got == "200 "+body {
			c.completeResponses.Add(1)
		} else if strings.HasPrefix(got, "200") || deadline == "" {
			c.t.Errorf("got %.40q, want the caller's own body %.20q", got, body)
		}
	}
}
