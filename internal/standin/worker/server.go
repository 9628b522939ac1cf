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
	Work     [parser.Ranks]atomic.Int64

	slowdownBits    atomic.Uint64 // Bits of the slowdown factor; 0 means 1.
	firstDrainNanos atomic.Int64  // Time of the first answer with the drain signal, likewise.
	lastCallNanos   atomic.Int64  // Arrival of the latest call in nanoseconds since 1970.
	inFlight        atomic.Int64  // Calls running or waiting.
	running         atomic.Int64
	setupOnce       sync.Once
	usedSlots       chan struct{}
	delayedLoad     delayedGauge
	mu              sync.Mutex
	runsByID        map[string]int
	probeTimes      []time.Time
}

// maxProbeTimes bounds the memory of the probe times.
const maxProbeTimes = 1 << 16

// coldFactor is the slowdown of the first calls of a cold server.
const coldFactor = 3

// Slow multiplies all service times that start from now on by factor.
func (s *Worker) Slow(factor float64) { s.slowdownBits.Store(math.Float64bits(factor)) }

// LastCall returns when the latest call arrived, shed calls included.
func (s *Worker) LastCall() time.Time { return time.Unix(0, s.lastCallNanos.Load()) }

// Told returns when the first answer carried the drain signal, the zero time if none did.
func (s *Worker) Told() time.Time {
	if ns := s.firstDrainNanos.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Runs returns how many times the call with identity id was run.
func (s *Worker) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByID[id]
}

// ProbeTimes returns the arrival times of the probes in order.
func (s *Worker) ProbeTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.probeTimes...)
}

// ServeHTTP runs a call or answers a probe at /load.
func (s *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		s.answerProbe(w)
		return
	}
	s.lastCallNanos.Store(time.Now().UnixNano())
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.setLoadHeaders(w)
	switch {
	case s.Draining.Load() || inFlight > int64(s.Slots+s.Queue):
		s.Shed.Add(1)
		w.Header().Set("Sardine-Refused", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case s.Failing.Load():
		s.countRun(r)
		w.WriteHeader(http.StatusInternalServerError)
	case s.acquireSlot(r):
		s.runCall(w, r)
		<-s.usedSlots
	}
}

// acquireSlot waits for a slot; it returns false when the caller left before.
func (s *Worker) acquireSlot(r *http.Request) bool {
	s.setupOnce.Do(s.makeSlots)
	select {
	case s.usedSlots <- struct{}{}:
		return true
	case <-r.Context().Done():
		s.Canceled.Add(1)
		return false
	}
}

func (s *Worker) makeSlots() { s.usedSlots = make(chan struct{}, s.Slots) }

func (s *Worker) runCall(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for peak := s.Peak.Load(); running > peak && !s.Peak.CompareAndSwap(peak, running); {
		peak = s.Peak.Load()
	}
	s.countRun(r)
	body, _ := io.ReadAll(r.Body)
	start := time.Now()
	if !s.spendServiceTime(r) {
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

// spendServiceTime spends the service time; it returns false when the call was canceled
// or its deadline passed before.
func (s *Worker) spendServiceTime(r *http.Request) bool {
	d := s.serviceTime(r)
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

func (s *Worker) serviceTime(r *http.Request) time.Duration {
	var d time.Duration
	if us, err := strconv.Atoi(r.Header.Get(TimeHeader)); err == nil {
		d = time.Duration(us) * time.Microsecond
	} else if s.Time != nil {
		d = s.Time()
	}
	factor := 1.0
	if bits := s.slowdownBits.Load(); bits != 0 {
		factor = math.Float64frombits(bits)
	}
	if s.Served.Load() < int64(s.Cold) {
		factor *= coldFactor
	}
	return time.Duration(float64(d) * factor)
}

func (s *Worker) countRun(r *http.Request) {
	s.Ledger.countRun(r.Header.Get(CallHeader), r.Header.Get(TokenHeader))
	id := r.Header.Get("Sardine-Id")
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runsByID == nil {
		s.runsByID = make(map[string]int)
	}
	s.runsByID[id]++
}

func (s *Worker) answerProbe(w http.ResponseWriter) {
	s.Probes.Add(1)
	s.mu.Lock()
	if len(s.probeTimes) < maxProbeTimes {
		s.probeTimes = append(s.probeTimes, time.Now())
	}
	s.mu.Unlock()
	time.Sleep(s.Cost)
	s.setLoadHeaders(w)
}

func (s *Worker) setLoadHeaders(w http.ResponseWriter) {
	load := s.inFlight.Load()
	if s.Lag > 0 {
		load = s.delayedLoad.update(load, s.Lag)
	}
	if s.Lying.Load() {
		load = 0
	}
	w.Header().Set("Sardine-Load", fmt.Sprintf("%d/%d", load, s.Slots))
	if s.Draining.Load() {
		w.Header().Set("Sardine-Drain", "1")
		s.firstDrainNanos.CompareAndSwap(0, time.Now().UnixNano())
	}
}
