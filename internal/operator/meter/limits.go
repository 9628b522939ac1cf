package meter

import "github.com/prometheus/client_golang/prometheus"

// RegisterHeldBytes registers in r the bytes that the connections of callers and operators
// hold, which load returns.
func RegisterHeldBytes(r *prometheus.Registry, load func() int64) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "sardinelever_held_bytes", Help: "Memory that connections, headers and bodies of clients hold, as accounted for.",
	}, func() float64 { return float64(load()) }))
}

// RegisterClosedConns registers in r the number of connections that were closed or refused
// for reason, which load returns.
func RegisterClosedConns(r *prometheus.Registry, reason string, load func() uint64) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "sardinelever_closed_connections_total", Help: "Connections and requests of clients that were closed or refused to keep the limits of the machine, by reason.",
		ConstLabels: prometheus.Labels{"reason": reason},
	}, func() float64 { return float64(load()) }))
}
