package meter

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"sardinelever.example/sardinelever/internal/flow/recoverer"
)

// Metrics holds the metrics that are updated for each call. The number of label sets
// is limited by the numbers of services, ranks and outcomes.
type Metrics struct {
	Calls           *prometheus.CounterVec   // By service, rank and outcome.
	CallSeconds     *prometheus.HistogramVec // Time from accepting a call to the end of the response, by service and rank.
	Attempts        *prometheus.CounterVec   // Attempts that got a slot, by service and kind: first, or again for a retry or hedge.
	Hedges          *prometheus.CounterVec   // Hedges within the retry limit of the fleet, by service and event: sent, won, denied or unfunded.
	SilentCalls     *prometheus.CounterVec   // Attempts that were given up as silent, by service.
	SlotWaitSeconds *prometheus.HistogramVec // Time that an attempt waited for a slot, by service and rank.
	Refusals        *prometheus.CounterVec   // Requests that were refused before they had a service, by reason.
	Pauses          *prometheus.CounterVec   // Pauses that backend servers asked for, by the kind of the response.
	ZoneAsks        *prometheus.CounterVec   // Requests for slots, by service and zone of the pool: own or other.
	ZoneBytes       *prometheus.CounterVec   // Bytes of bodies of requests and responses, by service and zone of the backend server.
	LeavingSigns    *prometheus.CounterVec   // Processes of backend servers that became known to be leaving, by source.
}

// RegisterMetrics creates the metrics and registers them in r, together with the
// metrics of the process and the Go runtime.
func RegisterMetrics(r *prometheus.Registry) *Metrics {
	m := &Metrics{
		Calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_calls_total", Help: "Calls, by outcome: answered (below status 500), failed, rejected, unknown.",
		}, []string{"service", "rank", "outcome"}),
		CallSeconds: newSecondsHistogram("sardinelever_call_seconds", "Time from accept to the end of the answer."),
		Attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_attempts_total", Help: "Attempts that got a slot, by kind: first, or again for a retry or hedge.",
		}, []string{"service", "kind"}),
		Hedges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_hedges_total", Help: "Hedges within the retry limit of the fleet, by event: sent, won (answered first), denied (no slot was free), unfunded (the limit was reached).",
		}, []string{"service", "event"}),
		SilentCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_silent_calls_total", Help: "Attempts without an answer for much longer than their route takes, with setting retry.hedge.",
		}, []string{"service"}),
		SlotWaitSeconds: newSecondsHistogram("sardinelever_wait_seconds", "Time that an attempt waited for a slot."),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_refusals_total", Help: "Requests that were refused before they had a service, by reason.",
		}, []string{"reason"}),
		Pauses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_pauses_total", Help: "Pauses that backend servers asked for or extended, by the kind of the response.",
		}, []string{"source"}),
		ZoneAsks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_zone_asks_total", Help: "Requests for slots to homes of pools, by zone of the pool: own or other.",
		}, []string{"service", "zone"}),
		ZoneBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_zone_bytes_total", Help: "Bytes of bodies of requests and responses, by zone of the backend server: own or other.",
		}, []string{"service", "zone"}),
		LeavingSigns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_leaving_total", Help: "Backend servers that stated that they are leaving, by source: request, refusal, late, probe, instance.",
		}, []string{"source"}),
	}
	panics := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sardinelever_panics_total", Help: "Panics that ended one call, stream or message.",
	}, func() float64 { return float64(recoverer.Count()) })
	r.MustRegister(panics, m.Calls, m.CallSeconds, m.Attempts, m.Hedges, m.SilentCalls, m.SlotWaitSeconds, m.Refusals, m.Pauses, m.LeavingSigns, m.ZoneAsks, m.ZoneBytes,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// RegisterPausedServers registers in r the number of backend servers that count returns.
func RegisterPausedServers(r *prometheus.Registry, count func() int) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sardinelever_paused_servers", Help: "Backend servers that want no requests from this instance now.",
	}, func() float64 { return float64(count()) }))
}

// RegisterColdServers registers in r the number of cold backend servers and the number of
// slot requests that the limit of calls to them delayed or refused.
func RegisterColdServers(r *prometheus.Registry, count func() int, withheld func() uint64) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "sardinelever_cold_servers", Help: "Cold backend servers whose calls this instance limits as home.",
		}, func() float64 { return float64(count()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "sardinelever_cold_withheld_total", Help: "Slot requests that got no free slot at once because its backend server was cold.",
		}, func() float64 { return float64(withheld()) }),
	)
}

// newSecondsHistogram returns a histogram by service and rank with buckets from 250 µs
// to 33 s.
func newSecondsHistogram(name, help string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: name, Help: help, Buckets: prometheus.ExponentialBuckets(0.00025, 2, 18),
	}, []string{"service", "rank"})
}

// RegisterLinkBytes registers in r the byte counts of one kind of stream between
// instances. The function load returns the bytes received (in) and sent (out) since
// the start.
func RegisterLinkBytes(r *prometheus.Registry, kind string, load func() (in, out uint64)) {
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

// RegisterEvacuation registers in r the number of backend servers in evacuated availability
// zones and the number of calls that this instance runs there.
func RegisterEvacuation(r *prometheus.Registry, servers, calls func() int) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sardinelever_evacuated_servers", Help: "Backend servers that get no requests because their availability zone is evacuated.",
	}, func() float64 { return float64(servers()) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sardinelever_evacuated_calls", Help: "Calls of this instance that still run at backend servers in evacuated zones.",
	}, func() float64 { return float64(calls()) }))
}
