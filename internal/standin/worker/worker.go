package worker

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Headers that a trial's caller sends through the instances to the worker.
const (
	CallHeader  = "Trial-Call"  // Name of the call, the same in each attempt; echoed in the answer.
	TokenHeader = "Trial-Token" // Name of one attempt.
	TimeHeader  = "Trial-Time"  // Service time in microseconds.
	TookHeader  = "Trial-Took"  // In the answer: how long the call ran, in microseconds.
)

// Worker is a backend server; the exported fields are set before it serves.
type Worker struct {
	Name   string
	Slots  int                  // Calls at a time; more wait in Queue or are shed with the documented refusal.
	Queue  int                  // Calls that wait for a slot; 0 sheds at once.
	Time   func() time.Duration // Service time of a call without TimeHeader; nil means none.
	Spin   bool                 // Spin spends the service time on a processor: a timer may end a millisecond late.
	Cost   time.Duration        // Time that a probe takes.
	Cold   int                  // Number of first calls that take three times as long.
	Lag    time.Duration        // Age of the load that is reported; 0 means the present load.
	Ledger *Ledger              // Counts runs over all workers of a trial; nil means none.

	Draining atomic.Bool // Draining sheds every call and makes every answer carry the drain signal.
	Failing  atomic.Bool // Failing answers every call with status 500 at once.
	Lying    atomic.Bool // Lying reports no call in flight.
	Served   atomic.Int64
	Shed     atomic.Int64
	Canceled atomic.Int64 // Calls whose connection closed or whose deadline passed while they ran.
	Probes   atomic.Int64
	Peak     atomic.Int64 // Most calls that ran at a time.
	Work     [parser.RankCount]atomic.Int64

	factor  atomic.Uint64 // Bits of the slowdown factor; 0 means 1.
	told    atomic.Int64  // Time of the first answer with the drain signal, likewise.
	last    atomic.Int64  // Arrival of the latest call in nanoseconds since 1970.
	busy    atomic.Int64  // Calls running or waiting.
	running atomic.Int64
	once    sync.Once
	free    chan struct{}
	stale   gauge
	mu      sync.Mutex
	runs    map[string]int
	probes  []time.Time
}

// maxProbes bounds the memory of the probe times.
const maxProbes = 1 << 16

// coldFactor is the slowdown of the first calls of a cold server.
const coldFactor = 3

// Slow multiplies all service times that start from now on by factor.
func (s *Worker) Slow(factor float64) { s.factor.Store(math.Float64bits(factor)) }

// LastCall returns when the latest call arrived, shed calls included.
func (s *Worker) LastCall() time.Time { return time.Unix(0, s.last.Load()) }

// Told returns when the first answer carried the drain signal, the zero time if none did.
func (s *Worker) Told() time.Time {
	if ns := s.told.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Runs returns how many times the call with identity id was run.
func (s *Worker) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ProbeTimes returns the arrival times of the probes in order.
func (s *Worker) ProbeTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.probes...)
}

// ServeHTTP runs a call or answers a probe at /load.
func (s *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		s.probe(w)
		return
	}
	s.last.Store(time.Now().UnixNano())
	busy := s.busy.Add(1)
	defer s.busy.Add(-1)
	s.report(w)
	switch {
	case s.Draining.Load() || busy > int64(s.Slots+s.Queue):
		s.Shed.Add(1)
		w.Header().Set("Sardine-Refused", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case s.Failing.Load():
		s.count(r)
		w.WriteHeader(http.StatusInternalServerError)
	case s.enter(r):
		s.run(w, r)
		<-s.free
	}
}

// enter waits for a slot; it returns false when the caller left before.
func (s *Worker) enter(r *http.Request) bool {
	s.once.Do(s.setup)
	select {
	case s.free <- struct{}{}:
		return true
	case <-r.Context().Done():
		s.Canceled.Add(1)
		return false
	}
}

func (s *Worker) setup() { s.free = make(chan struct{}, s.Slots) }

func (s *Worker) run(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for peak := s.Peak.Load(); running > peak && !s.Peak.CompareAndSwap(peak, running); {
		peak = s.Peak.Load()
	}
	s.count(r)
	body, _ := io.ReadAll(r.Body)
	start := time.Now()
	if !s.serve(r) {
		s.Canceled.Add(1)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	var rank parser.Rank
	_ = rank.UnmarshalText([]byte(r.Header.Get("Sardine-Rank")))
	took := time.Since(start)
	s.Work[rank].Add(int64(took))
	w.Header().Set(TookHeader, strconv.FormatInt(took.Microseconds(), 10))
	s.Served.Add(1)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", s.Name, r.Method, r.URL.Path, len(body))
	if call := r.Header.Get(CallHeader); call != "" {
		_, _ = fmt.Fprintln(w, call)
	}
}

// serve spends the service time; it returns false when the call was canceled
// or its deadline passed before.
func (s *Worker) serve(r *http.Request) bool {
	d := s.duration(r)
	if d == 0 {
		return true
	}
	if s.Spin {
		for start := time.Now(); time.Since(start) < d; {
			runtime.Gosched()
		}
		return true
	}
	limit := d
	if ms, err := strconv.Atoi(r.Header.Get("Sardine-Deadline")); err == nil {
		limit = min(d, time.Duration(ms)*time.Millisecond)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-timer.C:
		return limit == d
	case <-r.Context().Done():
		return false
	}
}

func (s *Worker) duration(r *http.Request) time.Duration {
	var d time.Duration
	if us, err := strconv.Atoi(r.Header.Get(TimeHeader)); err == nil {
		d = time.Duration(us) * time.Microsecond
	} else if s.Time != nil {
		d = s.Time()
	}
	factor := 1.0
	if bits := s.factor.Load(); bits != 0 {
		factor = math.Float64frombits(bits)
	}
	if s.Served.Load() < int64(s.Cold) {
		factor *= coldFactor
	}
	return time.Duration(float64(d) * factor)
}

func (s *Worker) count(r *http.Request) {
	s.Ledger.note(r.Header.Get(CallHeader), r.Header.Get(TokenHeader))
	id := r.Header.Get("Sardine-Id")
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

func (s *Worker) probe(w http.ResponseWriter) {
	s.Probes.Add(1)
	s.mu.Lock()
	if len(s.probes) < maxProbes {
		s.probes = append(s.probes, time.Now())
	}
	s.mu.Unlock()
	time.Sleep(s.Cost)
	s.report(w)
}

func (s *Worker) report(w http.ResponseWriter) {
	busy := s.busy.Load()
	if s.Lag > 0 {
		busy = s.stale.read(busy, s.Lag)
	}
	if s.Lying.Load() {
		busy = 0
	}
	w.Header().Set("Sardine-Load", fmt.Sprintf("%d/%d", busy, s.Slots))
	if s.Draining.Load() {
		w.Header().Set("Sardine-Drain", "1")
		s.told.CompareAndSwap(0, time.Now().UnixNano())
	}
}
