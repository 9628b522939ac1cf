package worker_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"sardinelever.example/sardinelever/internal/standin/worker"
)

func call(w *worker.Worker, header map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/book", nil)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	answer := httptest.NewRecorder()
	w.ServeHTTP(answer, r)
	return answer
}

// TestServe guards against a stand-in that counts a refused call as run or
// misses a run, which would make the verdicts on at-most-once worthless.
func TestServe(t *testing.T) {
	var l worker.Ledger
	w := &worker.Worker{Name: "one", Slots: 1, Ledger: &l}
	header := map[string]string{worker.CallHeader: "c", worker.TokenHeader: "c.0", "Sardine-Id": "id"}
	w.Draining.Store(true)
	if got := call(w, header); got.Code != http.StatusServiceUnavailable || got.Header().Get("Sardine-Refused") != "1" || got.Header().Get("Sardine-Drain") != "1" {
		t.Errorf("draining: got %d %v, want the documented refusal and the drain signal", got.Code, got.Header())
	}
	if got := l.Calls("c") + l.Attempts("c.0") + w.Runs("id"); got != 0 {
		t.Errorf("draining: got %d runs, want 0", got)
	}
	w.Draining.Store(false)
	if got, want := call(w, header).Body.String(), "one POST /book 0\nc\n"; got != want {
		t.Errorf("got answer %q, want %q", got, want)
	}
	header["Sardine-Deadline"], header[worker.TimeHeader] = "1", "3600000000"
	if got := call(w, header).Code; got != http.StatusGatewayTimeout {
		t.Errorf("late call: got %d, want %d", got, http.StatusGatewayTimeout)
	}
	w.Failing.Store(true)
	if got := call(w, header).Code; got != http.StatusInternalServerError {
		t.Errorf("failing: got %d, want %d", got, http.StatusInternalServerError)
	}
	if got := [3]int{l.Calls("c"), l.Attempts("c.0"), w.Runs("id")}; got != [3]int{3, 3, 3} {
		t.Errorf("got runs %v, want 3 each", got)
	}
	if got := w.Peak.Load(); got != 1 {
		t.Errorf("got peak %d, want 1", got)
	}
}
