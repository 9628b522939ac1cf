package worker_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/standin/worker"
)

func serveCall(s *worker.Server, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/book", nil)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	response := httptest.NewRecorder()
	s.ServeHTTP(response, r)
	return response
}

// TestCountRuns guards against a shed call that is counted as run and a run that is not
// counted. Either would hide or fake a violation of at-most-once execution in a trial.
func TestCountRuns(t *testing.T) {
	var c worker.RunCounter
	s := &worker.Server{Name: "one", Slots: 1, RunCounter: &c}
	header := map[string]string{worker.CallHeader: "c", worker.AttemptHeader: "c.0", "Sardine-Id": "id"}
	s.Draining.Store(true)
	if got := serveCall(s, header); got.Code != http.StatusServiceUnavailable || got.Header().Get("Sardine-Refused") != "1" || got.Header().Get("Sardine-Drain") != "1" {
		t.Errorf("draining: got %d %v, want status 503 with Sardine-Refused and Sardine-Drain", got.Code, got.Header())
	}
	if got := c.CallRuns("c") + c.AttemptRuns("c.0") + s.RunCount("id"); got != 0 {
		t.Errorf("draining: got %d runs, want 0", got)
	}
	s.Draining.Store(false)
	if got, want := serveCall(s, header).Body.String(), "one POST /book 0\nc\n"; got != want {
		t.Errorf("got response %q, want %q", got, want)
	}
	header["Sardine-Deadline"], header[worker.ServiceTimeHeader] = "1", "3600000000"
	if got := serveCall(s, header).Code; got != http.StatusGatewayTimeout {
		t.Errorf("call past its deadline: got %d, want %d", got, http.StatusGatewayTimeout)
	}
	s.Failing.Store(true)
	if got := serveCall(s, header).Code; got != http.StatusInternalServerError {
		t.Errorf("failing: got %d, want %d", got, http.StatusInternalServerError)
	}
	if got := [3]int{c.CallRuns("c"), c.AttemptRuns("c.0"), s.RunCount("id")}; got != [3]int{3, 3, 3} {
		t.Errorf("got runs %v, want 3 each", got)
	}
	if got := s.PeakRunning.Load(); got != 1 {
		t.Errorf("got peak %d, want 1", got)
	}
}

// TestPauseIsNoRun guards against a call that is turned away with Retry-After and counted
// as run.
func TestPauseIsNoRun(t *testing.T) {
	s := &worker.Server{Name: "one", Slots: 1}
	s.PauseNanos.Store(int64(250 * time.Millisecond))
	got := serveCall(s, map[string]string{"Sardine-Id": "id"})
	if got.Code != http.StatusServiceUnavailable || got.Header().Get("Sardine-Refused") != "1" || got.Header().Get("Retry-After") != "0.25" {
		t.Errorf("got %d %v, want status 503 with Sardine-Refused and Retry-After 0.25", got.Code, got.Header())
	}
	if runs := s.RunCount("id"); runs != 0 {
		t.Errorf("got %d runs, want 0", runs)
	}
}
