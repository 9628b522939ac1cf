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

// Headers between a caller of a trial and the backend server. Instances pass them
// through.
const (
	CallHeader  = "Trial-Call"  // Name of the call, the same for each attempt. The response body repeats it.
	TokenHeader = "Trial-Token" // Unique name of one attempt.
	TimeHeader  = "Trial-Time"  // Service time that the call takes, in microseconds.
	TookHeader  = "Trial-Took"  // Response header: how long the call ran, in microseconds.
)

// Worker is an HTTP handler that behaves as a backend server. The exported fields
// that are not atomic are set before it serves.
type Worker struct {
	Name   string
	Slots  int                  // Calls that run at a time; more wait for a slot or are shed.
	Queue  int                  // Number of calls that may wait for a slot; 0 sheds calls at once when no slot is free.
	Time   func() time.Duration // Draws the service time of a call without ServiceTimeHeader; nil means 0.
	Spin   bool                 // Uses the processor for the whole service time, because a timer may fire a millisecond late.
	Cost   time.Duration        // Time before a probe is answered.
	Cold   int                  // Calls take three times as long until this many are served.
	Lag    time.Duration        // Time between refreshes of the reported load; 0 means the current load.
	Ledger *Ledger              // Shared by all backend servers of a trial; may be nil.

	Draining atomic.Bool                    // Sheds every call and sends Sardine-Drain with every response.
	Failing  atomic.Bool                    // Answers every call at once with status 500.
	Lying    atomic.Bool                    // Reports a load of 0 calls whatever the actual load is.
	Served   atomic.Int64                   // Calls that ran to their end.
	Shed     atomic.Int64                   // Calls rejected with status 503 and Sardine-Refused, without a run.
	Canceled atomic.Int64                   // Calls canceled while they waited or ran, or past their deadline while they ran.
	Probes   atomic.Int64                   // Probes at /load so far.
	Peak     atomic.Int64                   // Largest number of calls that ran at a time.
	Work     [parser.RankCount]atomic.Int64 // Total service time of served calls by rank, in nanoseconds.

	slowdownBits    atomic.Uint64 // Slowdown factor as math.Float64bits; 0 means factor 1.
	firstDrainNanos atomic.Int64  // Unix time in nanoseconds of the first response with Sardine-Drain; 0 means none.
	lastCallNanos   atomic.Int64  // Unix time in nanoseconds of the arrival of the latest call.
	inFlight        atomic.Int64  // Calls that run or wait for a slot; also calls that are being shed.
	running         atomic.Int64
	setupOnce       sync.Once
	usedSlots       chan struct{} // Holds one element for each slot in use.
	delayedLoad     delayedGauge
	mu              sync.Mutex
	runsByID        map[string]int
	probeTimes      []time.Time
}

// maxProbeTimes is the number of probes whose arrival times are kept; it limits the
// memory of a long trial.
const maxProbeTimes = 1 << 16

// coldFactor is the slowdown factor of the first calls of a cold server.
const coldFactor = 3

// Slow multiplies the service time of calls that start from now on by factor.
func (s *Worker) Slow(factor float64) { s.slowdownBits.Store(math.Float64bits(factor)) }

// LastCall returns the arrival time of the latest call, shed calls included.
func (s *Worker) LastCall() time.Time { return time.Unix(0, s.lastCallNanos.Load()) }

// Told returns the time of the first response with the header Sardine-Drain,
// or the zero time when there was none.
func (s *Worker) Told() time.Time {
	if ns := s.firstDrainNanos.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Runs returns how often the call whose Sardine-Id is id ran.
func (s *Worker) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByID[id]
}

// ProbeTimes returns the arrival times of the first maxProbeTimes probes in order.
func (s *Worker) ProbeTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.probeTimes...)
}

// ServeHTTP answers a request for /load as a probe and handles every other request
// as a call.
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

// acquireSlot waits for a free slot and takes it. It returns false when the request is
// canceled first.
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

// spendServiceTime waits, or spins with BusyWait, for the service time of the call. It
// returns false when the call is canceled or passes its deadline first; with BusyWait it
// always runs to the end.
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

// countRun counts a run of the call in RunCounter and, when it has a Sardine-Id, under
// that ID.
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

// setLoadHeaders sets Sardine-Load, and Sardine-Drain while the server drains.
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
