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
	CallHeader        = "Trial-Call"  // Name of the call, the same for each attempt. The response body repeats it.
	AttemptHeader     = "Trial-Token" // Unique name of one attempt.
	ServiceTimeHeader = "Trial-Time"  // Service time that the call takes, in microseconds.
	RunTimeHeader     = "Trial-Took"  // Response header: how long the call ran, in microseconds.
)

// Server is an HTTP handler that behaves as a backend server. The exported fields
// that are not atomic are set before it serves.
type Server struct {
	Name              string
	Slots             int                  // Calls that run at a time; more wait for a slot or are shed.
	QueueLimit        int                  // Number of calls that may wait for a slot; 0 sheds calls at once when no slot is free.
	ServiceTime       func() time.Duration // Draws the service time of a call without ServiceTimeHeader; nil means 0.
	BusyWait          bool                 // Uses the processor for the whole service time, because a timer may fire a millisecond late.
	ProbeDuration     time.Duration        // Time before a probe is answered.
	ColdCalls         int                  // Calls take three times as long until this many are served.
	LoadRefreshPeriod time.Duration        // Shortest time between refreshes of the reported load; 0 reports the current load.
	RunCounter        *RunCounter          // Shared by all backend servers of a trial; may be nil.

	Draining      atomic.Bool                    // Sheds every call and sends Sardine-Drain with every response.
	Leaving       atomic.Bool                    // Sends Sardine-Leaving with every response.
	PauseNanos    atomic.Int64                   // Sheds every call and probe with Retry-After of this time, in nanoseconds; 0 means none.
	Failing       atomic.Bool                    // Answers every call at once with status 500.
	ReportNoLoad  atomic.Bool                    // Reports a load of 0 calls whatever the actual load is.
	ServedCalls   atomic.Int64                   // Calls that ran to their end.
	ShedCalls     atomic.Int64                   // Calls rejected with status 503 and Sardine-Refused, without a run.
	CanceledCalls atomic.Int64                   // Calls canceled while they waited or ran, or past their deadline while they ran.
	ProbeCount    atomic.Int64                   // Probes at /load so far.
	PeakRunning   atomic.Int64                   // Largest number of calls that ran at a time.
	WorkNanos     [parser.RankCount]atomic.Int64 // Total service time of served calls by rank, in nanoseconds.

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

// SetSlowdown multiplies the service time of calls that start from now on by factor.
func (s *Server) SetSlowdown(factor float64) { s.slowdownBits.Store(math.Float64bits(factor)) }

// LastCallTime returns the arrival time of the latest call, shed calls included.
func (s *Server) LastCallTime() time.Time { return time.Unix(0, s.lastCallNanos.Load()) }

// FirstDrainTime returns the time of the first response with the header Sardine-Drain,
// or the zero time when there was none.
func (s *Server) FirstDrainTime() time.Time {
	if ns := s.firstDrainNanos.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// RunCount returns how often the call whose Sardine-Id is id ran.
func (s *Server) RunCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsByID[id]
}

// ProbeTimes returns the arrival times of the first maxProbeTimes probes in order.
func (s *Server) ProbeTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.probeTimes...)
}

// ServeHTTP answers a request for /load as a probe and handles every other request
// as a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		s.answerProbe(w)
		return
	}
	s.lastCallNanos.Store(time.Now().UnixNano())
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.setLoadHeaders(w)
	switch {
	case s.PauseNanos.Load() > 0:
		s.ShedCalls.Add(1)
		s.askForPause(w)
	case s.Draining.Load() || inFlight > int64(s.Slots+s.QueueLimit):
		s.ShedCalls.Add(1)
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
func (s *Server) acquireSlot(r *http.Request) bool {
	s.setupOnce.Do(s.makeSlots)
	select {
	case s.usedSlots <- struct{}{}:
		return true
	case <-r.Context().Done():
		s.CanceledCalls.Add(1)
		return false
	}
}

func (s *Server) makeSlots() { s.usedSlots = make(chan struct{}, s.Slots) }

func (s *Server) runCall(w http.ResponseWriter, r *http.Request) {
	running := s.running.Add(1)
	defer s.running.Add(-1)
	for peak := s.PeakRunning.Load(); running > peak && !s.PeakRunning.CompareAndSwap(peak, running); {
		peak = s.PeakRunning.Load()
	}
	s.countRun(r)
	body, _ := io.ReadAll(r.Body)
	start := time.Now()
	if !s.spendServiceTime(r) {
		s.CanceledCalls.Add(1)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	var rank parser.Rank
	_ = rank.UnmarshalText([]byte(r.Header.Get("Sardine-Rank")))
	took := time.Since(start)
	s.WorkNanos[rank].Add(int64(took))
	w.Header().Set(RunTimeHeader, strconv.FormatInt(took.Microseconds(), 10))
	s.ServedCalls.Add(1)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s %s %d\n", s.Name, r.Method, r.URL.Path, len(body))
	if call := r.Header.Get(CallHeader); call != "" {
		_, _ = fmt.Fprintln(w, call)
	}
}

// spendServiceTime waits, or spins with BusyWait, for the service time of the call. It
// returns false when the call is canceled or passes its deadline first; with BusyWait it
// always runs to the end.
func (s *Server) spendServiceTime(r *http.Request) bool {
	d := s.serviceTime(r)
	if d == 0 {
		return true
	}
	if s.BusyWait {
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

func (s *Server) serviceTime(r *http.Request) time.Duration {
	var d time.Duration
	if us, err := strconv.Atoi(r.Header.Get(ServiceTimeHeader)); err == nil {
		d = time.Duration(us) * time.Microsecond
	} else if s.ServiceTime != nil {
		d = s.ServiceTime()
	}
	factor := 1.0
	if bits := s.slowdownBits.Load(); bits != 0 {
		factor = math.Float64frombits(bits)
	}
	if s.ServedCalls.Load() < int64(s.ColdCalls) {
		factor *= coldFactor
	}
	return time.Duration(float64(d) * factor)
}

// countRun counts a run of the call in RunCounter and, when it has a Sardine-Id, under
// that ID.
func (s *Server) countRun(r *http.Request) {
	s.RunCounter.countRun(r.Header.Get(CallHeader), r.Header.Get(AttemptHeader))
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

func (s *Server) answerProbe(w http.ResponseWriter) {
	s.ProbeCount.Add(1)
	s.mu.Lock()
	if len(s.probeTimes) < maxProbeTimes {
		s.probeTimes = append(s.probeTimes, time.Now())
	}
	s.mu.Unlock()
	time.Sleep(s.ProbeDuration)
	s.setLoadHeaders(w)
	if s.PauseNanos.Load() > 0 {
		s.askForPause(w)
	}
}

// askForPause refuses a call or a probe with Retry-After.
func (s *Server) askForPause(w http.ResponseWriter) {
	w.Header().Set("Sardine-Refused", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(time.Duration(s.PauseNanos.Load()).Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setLoadHeaders sets Sardine-Load, and Sardine-Drain while the server drains.
func (s *Server) setLoadHeaders(w http.ResponseWriter) {
	load := s.inFlight.Load()
	if s.LoadRefreshPeriod > 0 {
		load = s.delayedLoad.update(load, s.LoadRefreshPeriod)
	}
	if s.ReportNoLoad.Load() {
		load = 0
	}
	w.Header().Set("Sardine-Load", fmt.Sprintf("%d/%d", load, s.Slots))
	if s.Leaving.Load() {
		w.Header().Set("Sardine-Leaving", "1")
	}
	if s.Draining.Load() {
		w.Header().Set("Sardine-Drain", "1")
		s.firstDrainNanos.CompareAndSwap(0, time.Now().UnixNano())
	}
}
