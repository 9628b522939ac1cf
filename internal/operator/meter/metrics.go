package meter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Meter holds the metrics that are updated for each call. The number of label sets
// is limited by the numbers of services, ranks and outcomes.
type Meter struct {
	Calls    *prometheus.CounterVec   // By service, rank and outcome.
	Latency  *prometheus.HistogramVec // Time from accepting a call to the end of the response, by service and rank.
	Attempts *prometheus.CounterVec   // Attempts that got a slot, by service and kind: first, or again for a retry or hedge.
	Wait     *prometheus.HistogramVec // Time that an attempt waited for a slot, by service and rank.
}

// Register creates the metrics and registers them in r, together with the metrics of
// the process and the Go runtime.
func Register(r *prometheus.Registry) *Meter {
	m := &Meter{
		Calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_calls_total", Help: "Calls, by outcome: answered (below status 500), failed, rejected, unknown.",
		}, []string{"service", "rank", "outcome"}),
		Latency: newSecondsHistogram("sardinelever_call_seconds", "Time from accept to the end of the answer."),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_attempts_total", Help: "Attempts that got a slot, by kind: first, or again for a retry or hedge.",
		}, []string{"service", "kind"}),
		Wait: newSecondsHistogram("sardinelever_wait_seconds", "Time that an attempt waited for a slot."),
	}
	r.MustRegister(m.Calls, m.Latency, m.Attempts, m.Wait,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// newSecondsHistogram returns a histogram by service and rank with buckets from 250 µs
// to 33 s.
func newSecondsHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.00025, 2, 18),
	}, []string{"service", "rank"})
}

// Link registers in r the byte counts of one kind of stream between instances. The
// function load returns the bytes received and sent since the start.
func Link(r *prometheus.Registry, kind string, load func() (in, out uint64)) {
	for i, direction := range []string{"in", "out"} {
		c := prometheus.CounterOpts{
			Name: "sardinelever_link_bytes_total", Help: "Bytes on links to other instances, by kind of stream and direction.",
			ConstLabels: prometheus.Labels{"kind": kind, "direction": direction},
		}
		r.MustRegister(prometheus.NewCounterFunc(c, func() float64 {
			in, out := load()
			return float64([...]uint64{in, out}[i])
		}))
	}
}
