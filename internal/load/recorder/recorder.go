package recorder

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// Recorder collects finished calls. The zero value is ready to use, and its
// methods may be called concurrently.
type Recorder struct {
	mu    sync.Mutex
	calls []Call
}

// AddCall adds a finished call.
func (r *Recorder) AddCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Calls returns the calls added so far for which accept returns true, or all of
// them if accept is nil.
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

// Summary holds the number of calls by outcome and their latencies in
// microseconds.
type Summary struct {
	Offered          int                     // Number of all calls.
	OutcomeCounts    [numOutcomes]int        // Number of calls by Outcome.
	ServedLatency    *hdrhistogram.Histogram // Latencies of the served calls.
	PenalizedLatency *hdrhistogram.Histogram // Latencies of all calls; an unserved call counts with at least its deadline.
}

// SummarizeCalls returns the summary of calls.
func SummarizeCalls(calls []Call) *Summary {
	s := &Summary{ServedLatency: NewLatencyHistogram(), PenalizedLatency: NewLatencyHistogram()}
	for i := range calls {
		c := &calls[i]
		s.Offered++
		s.OutcomeCounts[c.Outcome()]++
		if c.Outcome() == Served {
			RecordLatency(s.ServedLatency, c.Latency)
		}
		RecordLatency(s.PenalizedLatency, c.penalizedLatency())
	}
	return s
}

// NewLatencyHistogram returns a histogram of latencies in microseconds, from one
// microsecond to one minute with three significant digits.
func NewLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// RecordLatency adds d to h; a value outside the range of NewLatencyHistogram
// counts as the nearest bound of the range.
func RecordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 60_000_000))
}

// Percentile returns the latency that the given per cent of the values in h do not
// exceed.
func Percentile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// DueBetween returns a filter for Recorder.Calls. It accepts the calls of stream,
// or of all streams if stream is empty, whose intended send time is at least from
// and less than till after start.
func DueBetween(stream string, start time.Time, from, till time.Duration) func(*Call) bool {
	return func(c *Call) bool {
		at := c.Start.Sub(start)
		return (stream == "" || c.Arrival.Stream.Name == stream) && at >= from && at < till
	}
}

// SumServerTime returns the total time that the served calls ran on their backend
// servers, as the servers measured it. The planned service times would be too
// short, because the timers of the simulated servers fire up to a millisecond
// late.
func SumServerTime(calls []Call) time.Duration {
	var sum time.Duration
	for i := range calls {
		if calls[i].Outcome() == Served {
			sum += calls[i].ServerTime
		}
	}
	return sum
}

// streamsOf returns the streams of calls, one for each name, in the order in which
// they first occur in calls.
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
