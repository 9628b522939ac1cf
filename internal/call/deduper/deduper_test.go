package deduper_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/deduper"
	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/route/router"
)

// stubFleet is a fleet of two instances, "one" and "two". The place of every
// idempotency key is "two".
type stubFleet struct {
	instances map[netip.AddrPort]*instance
	down      atomic.Bool
}

type instance struct {
	*deduper.Deduper
	runs atomic.Int64
	// respond executes a call: it writes the response and returns whether the
	// call may have run.
	respond func(w http.ResponseWriter, r *http.Request) bool
}

var one, two = netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")

func (f *stubFleet) Place(string) (name string, since, read time.Time) {
	return "two", time.Now().Add(-time.Hour), time.Now()
}
func (f *stubFleet) PeerAddr(string) (netip.AddrPort, bool) { return two, true }

func (f *stubFleet) OpenStream(_ context.Context, peer netip.AddrPort, _ connector.StreamKind) (net.Conn, error) {
	if f.down.Load() || f.instances[peer] == nil {
		return nil, errors.Errorf("%s cannot be reached", peer)
	}
	local, remote := net.Pipe()
	go f.instances[peer].ServeConn(remote)
	return local, nil
}

func startFleet(t *testing.T, respond func(w http.ResponseWriter, r *http.Request) bool) *stubFleet {
	f := &stubFleet{instances: make(map[netip.AddrPort]*instance)}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for name, peer := range map[string]netip.AddrPort{"one": one, "two": two} {
		i := &instance{respond: respond}
		i.Deduper = &deduper.Deduper{
			Name: name, PeerAddr: peer, Incarnation: 7, Fleet: f, MaxRecords: 100, Responder: &responder.Responder{Instance: name},
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { i.handle(w, r, true) }),
		}
		f.instances[peer] = i
		go i.run(ctx)
	}
	return f
}

func (i *instance) run(ctx context.Context) { _ = i.Run(ctx) }

func (i *instance) handle(w http.ResponseWriter, r *http.Request, forwarded bool) {
	table := &router.RoutingTable{Services: map[string]*router.Service{"deposits": {Service: &parser.Service{Name: "deposits"}}}}
	c, err := classifier.ClassifyRequest(table, translator.Native{}, r, time.Now())
	if err != nil {
		i.Responder.WriteErrorReport(w, responder.ErrorReport{StatusCode: http.StatusBadRequest, Detail: err.Error()})
		return
	}
	i.HandleCall(w, r, c, forwarded, func(w http.ResponseWriter, r *http.Request) bool {
		i.runs.Add(1)
		return i.respond(w, r)
	})
}

func (f *stubFleet) runs() int64 { return f.instances[one].runs.Load() + f.instances[two].runs.Load() }

// call sends a call to the instance at and returns outcome and reason, or the
// text of the response when no outcome is reported.
func (f *stubFleet) call(at netip.AddrPort, path, key string) string {
	r := httptest.NewRequest(http.MethodPost, "/deposits/"+path, strings.NewReader("body"))
	r.Header.Set("Sardine-Id", key)
	w := httptest.NewRecorder()
	defer func() { _ = recover() }()
	f.instances[at].handle(w, r, false)
	if o := w.Header().Get("Sardine-Outcome"); o != "" {
		return o + " " + w.Header().Get("Sardine-Reason")
	}
	return w.Body.String()
}

func respondWithText(s string) func(http.ResponseWriter, *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, s+string(body))
		return true
	}
}

func newUUIDKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestRepeatGetsFirstResponse guards against a repeat that runs again or gets
// another response than the first attempt, at any instance of the fleet.
func TestRepeatGetsFirstResponse(t *testing.T) {
	f := startFleet(t, respondWithText("receipt "))
	key := newUUIDKey()
	for _, at := range []netip.AddrPort{one, two, one} {
		if got, want := f.call(at, "pay", key), "receipt body"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, want := f.call(one, "other", key), "rejected identity"; got != want {
		t.Errorf("got %q for another call with the same identity, want %q", got, want)
	}
	if f.runs() != 1 || f.instances[one].runs.Load() != 0 {
		t.Errorf("got %d runs, want 1 at two", f.runs())
	}
}

// TestRepeatWaitsForFirst guards against a repeat that runs while the first
// attempt is still running.
func TestRepeatWaitsForFirst(t *testing.T) {
	begun, release := make(chan bool, 2), make(chan bool)
	f := startFleet(t, func(w http.ResponseWriter, r *http.Request) bool {
		begun <- true
		<-release
		return respondWithText("receipt ")(w, r)
	})
	c := &caller{stubFleet: f, key: newUUIDKey(), results: make(chan string)}
	for range 2 {
		go c.run()
	}
	<-begun
	close(release)
	for range 2 {
		if got := <-c.results; got != "receipt body" {
			t.Errorf("got %q, want %q", got, "receipt body")
		}
	}
	if f.runs() != 1 {
		t.Errorf("got %d runs, want 1", f.runs())
	}
}

// caller sends a call to instance one and delivers what it got to results.
type caller struct {
	*stubFleet
	key     string
	results chan string
}

func (c *caller) run() { c.results <- c.call(one, "pay", c.key) }

// TestRepeatOutcomes guards against a repeat that is reported as rejected, or
// runs, although the first attempt may have run, and against a repeat that is
// refused although the first attempt did not run.
func TestRepeatOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		answer func(http.ResponseWriter, *http.Request) bool
		key    string
		repeat string
		runs   int64
	}{
		{"rejected", func(http.ResponseWriter, *http.Request) bool { return false }, newUUIDKey(), "", 2},
		{"large", respondWithText(strings.Repeat("x", 70<<10)), newUUIDKey(), "unknown lost", 1},
		{"cut", func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }, newUUIDKey(), "unknown lost", 1},
		{"old", respondWithText(""), "0190163d-8694-739b-aea5-966c26f8ad91", "unknown old", 0},
		{"future", respondWithText(""), "0f90163d-8694-739b-aea5-966c26f8ad91", "unknown future", 0},
		{"no time", respondWithText("ok "), "order 12", "ok body", 1},
		{"other incarnation", respondWithText(""), "10.0.0.2:7000/6/1", "unknown gone", 0},
		{"no such instance", respondWithText(""), "10.0.0.3:7000/7/1", "unknown place", 0},
		{"never issued", respondWithText(""), "10.0.0.2:7000/7/9000000000000000000", "rejected identity", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startFleet(t, tt.answer)
			f.call(one, "pay", tt.key)
			if got := f.call(one, "pay", tt.key); got != tt.repeat {
				t.Errorf("got %q, want %q", got, tt.repeat)
			}
			if f.runs() != tt.runs {
				t.Errorf("got %d runs, want %d", f.runs(), tt.runs)
			}
		})
	}
}

// TestCutResponse guards against a response that broke off at one instance, is complete
// for the caller of another one, over any version of HTTP/1, or is kept for repeats.
func TestCutResponse(t *testing.T) {
	for _, length := range []int64{-1, 10} {
		f := startFleet(t, func(w http.ResponseWriter, r *http.Request) bool {
			body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("cut")))
			responder.RelayResponse(w, r, &http.Response{StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(body), Header: make(http.Header)})
			return true
		})
		for _, at := range []netip.AddrPort{one, two} {
			for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
				f.checkCutResponse(t, at, protocol)
			}
		}
	}
}

// checkCutResponse sends a call whose response breaks off to the instance at, and then
// repeats it.
func (f *stubFleet) checkCutResponse(t *testing.T, at netip.AddrPort, protocol string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.instances[at].handle(w, r, false) }))
	defer s.Close()
	key, before := newUUIDKey(), f.runs()
	if got, err := sendRaw(s.Listener.Addr().String(), protocol, key); err == nil && !strings.HasPrefix(got, "502 ") {
		t.Errorf("%s at %s: got %q without an error, want an error or 502", protocol, at, got)
	}
	if got, want := f.call(at, "pay", key), "unknown lost"; got != want {
		t.Errorf("%s at %s: got %q for the repeat, want %q", protocol, at, got, want)
	}
	if got := f.runs() - before; got != 1 {
		t.Errorf("%s at %s: got %d runs, want 1", protocol, at, got)
	}
}

// sendRaw sends a call with the given protocol to address and returns the body of the
// response.
func sendRaw(address, protocol, key string) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	const head = "POST /deposits/pay %s\r\nHost: x\r\nSardine-Id: %s\r\nContent-Length: 4\r\n\r\nbody"
	if _, err := fmt.Fprintf(conn, head, protocol, key); err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.Status + " " + string(text), err
}

// TestPeerUnreachable guards against an instance that executes a call itself
// because it cannot reach the instance that may execute it.
func TestPeerUnreachable(t *testing.T) {
	f := startFleet(t, respondWithText("ok "))
	issued := f.instances[two].Issue()
	f.down.Store(true)
	for _, key := range []string{newUUIDKey(), issued} {
		if got, want := f.call(one, "pay", key), "unknown place"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	f.down.Store(false)
	if got, want := f.call(one, "pay", issued), "ok body"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestRecordsFull guards against a number of records that exceeds MaxRecords, and
// against records that are removed to make room for new ones.
func TestRecordsFull(t *testing.T) {
	f := startFleet(t, respondWithText("ok "))
	first := newUUIDKey()
	f.call(two, "pay", first)
	for range 99 {
		f.call(two, "pay", newUUIDKey())
	}
	if got, want := f.call(two, "pay", newUUIDKey()), "rejected full"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := f.call(two, "pay", first), "ok body"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
