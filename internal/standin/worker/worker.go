package worker

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Worker is a backend server; the exported fields are set before it serves.
type Worker struct {
	Name  string
	Slots int                  // Calls at a time; more are shed with the documented refusal.
	Time  func() time.Duration // Service time of a call; nil means none.

	Draining atomic.Bool // Draining makes every answer carry the drain signal.
	Served   atomic.Int64
	Shed     atomic.Int64
	Probes   atomic.Int64

	busy atomic.Int64
	mu   sync.Mutex
	runs map[string]int
}

// Runs returns how many times the call with identity id was run.
func (s *Worker) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ServeHTTP runs a call or answers a probe at /load.
func (s *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		s.Probes.Add(1)
		s.report(w)
		return
	}
	busy := s.busy.Add(1)
	defer s.busy.Add(-1)
	s.report(w)
	if s.Draining.Load() || busy > int64(s.Slots) {
		s.Shed.Add(1)
		w.Header().Set("Sardine-Refused", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.run(w, r)
}

func (s *Worker) run(w http.ResponseWriter, r *http.Request) {
	s.count(r.Header.Get("Sardine-Id"))
	body, _ := io.ReadAll(r.Body)
	if s.Time != nil {
		select {
		case <-time.After(s.Time()):
		case <-r.Context().Done():
			return
		}
	}
	s.Served.Add(1)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", s.Name, r.Method, r.URL.Path, len(body))
}

func (s *Worker) count(id string) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[id]++
}

func (s *Worker) report(w http.ResponseWriter) {
	w.Header().Set("Sardine-Load", fmt.Sprintf("%d/%d", s.busy.Load(), s.Slots))
	if s.Draining.Load() {
		w.Header().Set("Sardine-Drain", "1")
	}
}
