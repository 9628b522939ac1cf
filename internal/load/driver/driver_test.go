package driver_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/load/driver"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// stubInstance responds as an instance does. The path of a call selects the
// outcome; for any other path the connection is closed without a response.
type stubInstance struct{}

func (stubInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(worker.CallHeader)
	switch r.URL.Path {
	case "/s/served":
		_, _ = w.Write([]byte("text\n" + name + "\n"))
	case "/s/foreign":
		_, _ = w.Write([]byte("text\n" + name + "0\n"))
	case "/s/rejected", "/s/unknown":
		w.Header().Set("Sardine-Outcome", r.URL.Path[len("/s/"):])
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/s/failed":
		w.WriteHeader(http.StatusInternalServerError)
	default:
		panic(http.ErrAbortHandler)
	}
}

// TestCallOutcome guards against a driver that records a rejected, failed or
// unanswered call, or one with the answer of another call, as served, and
// against one that retries too often or too rarely.
func TestCallOutcome(t *testing.T) {
	s := httptest.NewServer(stubInstance{})
	defer s.Close()
	for _, test := range []struct {
		path     string
		retries  int
		want     recorder.Outcome
		attempts int
	}{
		{"/served", 2, recorder.Served, 1},
		{"/foreign", 2, recorder.WrongResponse, 1},
		{"/rejected", 1, recorder.NotRun, 2},
		{"/unknown", 0, recorder.Unknown, 1},
		{"/failed", 2, recorder.Failed, 1},
		{"/cut", 1, recorder.NoResponse, 2},
	} {
		stream := planner.Stream{Service: "s", Path: test.path, Retries: test.retries, Method: http.MethodPost, KeySource: planner.CallerKey}
		d := &driver.Driver{Plan: []planner.Arrival{{Stream: &stream}}, Balancer: new(driver.PlatformBalancer), Recorder: new(recorder.Recorder)}
		d.Balancer.AddInstance(s.URL)
		d.SendCalls(context.Background())
		calls := d.Recorder.Calls(nil)
		if len(calls) != 1 {
			t.Fatalf("%s: got %d calls, want 1", test.path, len(calls))
		}
		if got := calls[0].Outcome(); got != test.want || len(calls[0].Attempts) != test.attempts {
			t.Errorf("%s: got outcome %d after %d attempts, want %d after %d", test.path, got, len(calls[0].Attempts), test.want, test.attempts)
		}
	}
}

// TestPlanFollowsSeedAndRate guards against plans that differ between runs with
// the same seed, and against plans whose arrival rate or mean service time is not
// the requested one.
func TestPlanFollowsSeedAndRate(t *testing.T) {
	streams := []planner.Stream{{Name: "a", Rate: 1000, Till: 100 * time.Second, MeanServiceTime: 20 * time.Millisecond, Sigma: 1}}
	first, second := planner.DrawArrivals(7, streams), planner.DrawArrivals(7, streams)
	var sum time.Duration
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("arrival %d: got %v and %v, want the same", i, first[i], second[i])
		}
		sum += first[i].ServiceTime
	}
	// The bounds are four standard deviations of the Poisson count of arrivals and
	// about as many of the mean of the service times.
	if n := len(first); n < 98_735 || n > 101_265 {
		t.Errorf("got %d arrivals, want 100000 within 1265", n)
	}
	if mean := sum / time.Duration(len(first)); mean < 19_600*time.Microsecond || mean > 20_400*time.Microsecond {
		t.Errorf("got mean service time %v, want 20ms within 0.4ms", mean)
	}
}

// failingInstance answers its first call. At the second call it closes its
// listener, adds the instance at rejecting to balancer and closes the connection
// without a response.
type failingInstance struct {
	server    *httptest.Server
	rejecting string
	balancer  *driver.PlatformBalancer
	calls     atomic.Int64
}

func (f *failingInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.calls.Add(1) == 1 {
		stubInstance{}.ServeHTTP(w, r)
		return
	}
	_ = f.server.Listener.Close()
	f.balancer.AddInstance(f.rejecting)
	panic(http.ErrAbortHandler)
}

// TestResentCallCountsAsNoResponse guards against a driver that sends an attempt
// to a second instance although the first may have run it. The connection breaks
// after the request was sent, http.Transport sends it again and fails to connect;
// taken for a call that was never sent, it would be rejected by the second
// instance and recorded as not run.
func TestResentCallCountsAsNoResponse(t *testing.T) {
	rejecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Sardine-Outcome", "rejected")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer rejecting.Close()
	failing := &failingInstance{rejecting: rejecting.URL, balancer: new(driver.PlatformBalancer)}
	failing.server = httptest.NewServer(failing)
	defer failing.server.Close()
	stream := planner.Stream{Service: "s", Path: "/served", Idempotent: true}
	plan := []planner.Arrival{{Stream: &stream}, {Stream: &stream, At: 200 * time.Millisecond}}
	d := &driver.Driver{Plan: plan, Balancer: failing.balancer, Recorder: new(recorder.Recorder), Start: time.Now()}
	failing.balancer.AddInstance(failing.server.URL)
	d.SendCalls(context.Background())
	counts := recorder.SummarizeCalls(d.Recorder.Calls(nil)).OutcomeCounts
	if counts[recorder.Served] != 1 || counts[recorder.NoResponse] != 1 {
		t.Errorf("got outcomes %v, want one call served and one cut", counts)
	}
}
