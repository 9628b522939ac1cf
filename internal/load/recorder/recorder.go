package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// Recorder collects calls; the zero value is ready to use.
type Recorder struct {
	mu    sync.Mutex
	calls []Call
}

// Add records a finished call.
func (r *Recorder) Add(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns the calls so far that keep accepts; a nil keep accepts all.
func (r *Recorder) Calls(accept func(*Call) bool) []Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	var accepted []Call
	for i := range r.calls {
		if accept == nil || accept(&r.calls[i]) {
			accepted = append(accepted, r.calls[i])
		}
	}
	return accepted
}

// Summary counts the calls of one kind.
type Summary struct {
	Offered int
	Count   [numOutcomes]int
	Latency *hdrhistogram.Histogram // Served calls, in microseconds.
	Cost    *hdrhistogram.Histogram // All calls; one that was not served counts with its deadline.
}

// Summarize counts calls.
func Summarize(calls []Call) *Summary {
	s := &Summary{Latency: NewHistogram(), Cost: NewHistogram()}
	for i := range calls {
		c := &calls[i]
		s.Offered++
		s.Count[c.Outcome()]++
		if c.Outcome() == Served {
			Note(s.Latency, c.Latency)
		}
		Note(s.Cost, c.penalizedLatency())
	}
	return s
}

// NewHistogram returns a histogram of microseconds up to a minute.
func NewHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Note adds d to h; values outside the range count as its ends.
func Note(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 60_000_000))
}

// Quantile returns the latency below which q per cent of h lie.
func Quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Between accepts calls of a stream that were due from from until till after start.
func Between(stream string, start time.Time, from, till time.Duration) func(*Call) bool {
	return func(c *Call) bool {
		at := c.Start.Sub(start)
		return (stream == "" || c.Arrival.Stream.Name == stream) && at >= from && at < till
	}
}

// SlotTime sums the time that the served calls took at their backend servers.
// It is not the planned time, as the stand-ins' timers end up to a millisecond late.
func SlotTime(calls []Call) time.Duration {
	var sum time.Duration
	for i := range calls {
		if calls[i].Outcome() == Served {
			sum += calls[i].Took
		}
	}
	return sum
}

// streamsOf returns the streams of calls in order of first appearance in plan order of name.
func streamsOf(calls []Call) []*planner.Stream {
	byName := make(map[string]*planner.Stream)
	var streams []*planner.Stream
	for i := range calls {
		s := calls[i].Arrival.Stream
		if byName[s.Name] == nil {
			byName[s.Name] = s
			streams = append(streams, s)
		}
	}
	return streams
}
