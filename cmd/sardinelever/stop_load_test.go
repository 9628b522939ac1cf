package main_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

// stopLoad is the load on an instance that is stopped. Its callers use the instance
// until takenOut is set or the instance takes no connection.
type stopLoad struct {
	url      string
	takenOut atomic.Bool
	whole    atomic.Int64 // Calls with a whole answer.
	mu       sync.Mutex
	failures []string
}

// sendCalls sends calls, each on a new connection if fresh is set.
func (l *stopLoad) sendCalls(fresh bool) {
	transport := &http.Transport{DisableKeepAlives: fresh}
	defer transport.CloseIdleConnections()
	for !l.takenOut.Load() {
		err := l.sendCall(transport)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err != nil {
			l.mu.Lock()
			l.failures = append(l.failures, fmt.Sprintf("fresh %t: %v", fresh, err))
			l.mu.Unlock()
			return
		}
		l.whole.Add(1)
	}
}

func (l *stopLoad) sendCall(transport *http.Transport) error {
	r, err := http.NewRequest(http.MethodPost, l.url, strings.NewReader("order"))
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestStopUnderLoad guards against calls that an instance has just accepted and that it
// cuts off without an answer when it is stopped: on new and on kept connections, while
// calls wait for a slot, by callers that a balancer moves away and by those that use the
// instance until it is gone.
func TestStopUnderLoad(t *testing.T) {
	t.Run("balancer", func(t *testing.T) { testStopUnderLoad(t, true) })
	t.Run("no balancer", func(t *testing.T) { testStopUnderLoad(t, false) })
}

func testStopUnderLoad(t *testing.T, balancer bool) {
	d := &deployment{}
	d.start(t, 400*time.Millisecond, provisioner.ServerGroup{
		Service: parser.Service{Name: "guidance", Slots: 2}, ServerCount: 3, ServiceTime: func() time.Duration { return 20 * time.Millisecond },
	})
	l := &stopLoad{url: d.CallersURL() + "/guidance/book"}
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Add(1)
		go (&stopCaller{l, &callers, i%2 == 0}).run()
	}
	for l.whole.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	if err := d.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitNotReady(t)
	l.takenOut.Store(balancer)
	callers.Wait()
	if len(l.failures) > 0 {
		t.Errorf("got %d calls without a whole answer, want 0: %v", len(l.failures), l.failures)
	}
	<-d.Done()
	if got := d.Err(); got != nil {
		t.Errorf("got exit %v, want status 0", got)
	}
}

// stopCaller is one caller of a stopLoad.
type stopCaller struct {
	load  *stopLoad
	done  *sync.WaitGroup
	fresh bool
}

func (c *stopCaller) run() {
	defer c.done.Done()
	c.load.sendCalls(c.fresh)
}
