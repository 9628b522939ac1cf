package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Waits counts what the homes on this instance decide about waiting requests. It
// implements allocator.Observer.
type Waits struct {
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
}

// RegisterWaits creates the metrics of waiting requests and registers them in r.
func RegisterWaits(r *prometheus.Registry) *Waits {
	w := &Waits{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "sardinelever_slot_refusals_total", Help: "Requests for a slot that a home on this instance refused, by route and reason.",
		}, []string{"service", "route", "reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "sardinelever_queue_seconds", Help: "Wait of granted requests in the queues of the homes on this instance: predicted on arrival, and actual.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"service", "kind"}),
	}
	r.MustRegister(w.refusals, w.seconds)
	return w
}

// ObserveRefusal counts a refused request for a slot.
func (w *Waits) ObserveRefusal(service, route, reason string) {
	w.refusals.WithLabelValues(service, route, reason).Inc()
}

// ObserveWait records the predicted and the actual wait of a granted request.
func (w *Waits) ObserveWait(service string, predicted, actual time.Duration) {
	w.seconds.WithLabelValues(service, "predicted").Observe(predicted.Seconds())
	w.seconds.WithLabelValues(service, "actual").Observe(actual.Seconds())
}
