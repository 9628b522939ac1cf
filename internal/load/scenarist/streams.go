package scenarist

import (
	"net/http"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
)

// readStream returns urgent reads that keep the given share of the slots of the
// read service busy.
func (t *Trial) readStream(share float64, from, till time.Duration) planner.Stream {
	d := t.deployment
	return planner.Stream{
		Name: "lookup", Service: d.ReadService, Path: "/lookup", Rank: parser.Urgent, Idempotent: true,
		Deadline: 2 * time.Second, Rate: t.loadFactor() * share * d.Capacity(d.ReadService, t.scaleMean(deployer.MeanReadTime)),
		From: from, Till: till, MeanServiceTime: t.scaleMean(deployer.MeanReadTime), Sigma: deployer.ServiceTimeSigma,
	}
}

// bookingStream returns non-idempotent calls of rank normal that keep the given
// share of the slots of service busy.
func (t *Trial) bookingStream(service string, share float64, from, till time.Duration) planner.Stream {
	return planner.Stream{
		Name: "book", Service: service, Method: http.MethodPost, Path: "/book", Rank: parser.Normal,
		Deadline: 4 * time.Second, Rate: t.loadFactor() * share * t.deployment.Capacity(service, t.scaleMean(deployer.MeanBookingTime)),
		From: from, Till: till, MeanServiceTime: t.scaleMean(deployer.MeanBookingTime), Sigma: deployer.ServiceTimeSigma,
	}
}

// bulkStream returns non-idempotent calls of rank patient that keep the given
// share of the slots of service busy.
func (t *Trial) bulkStream(service string, share float64, from, till time.Duration) planner.Stream {
	return planner.Stream{
		Name: "bulk", Service: service, Method: http.MethodPost, Path: "/bulk", Rank: parser.Patient,
		Deadline: 5 * time.Second, Rate: t.loadFactor() * share * t.deployment.Capacity(service, t.scaleMean(deployer.MeanBulkTime)),
		From: from, Till: till, MeanServiceTime: t.scaleMean(deployer.MeanBulkTime), Sigma: deployer.ServiceTimeSigma,
	}
}

// loadFactor is the factor on the rate of all streams. The short form has a lower
// load because it runs beside other tests.
func (t *Trial) loadFactor() float64 {
	if t.Short {
		return 0.25
	}
	return 1
}

// scaleMean applies the deployment's scale of service times to d.
func (t *Trial) scaleMean(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.deployment.ServiceTimeScale)
}

// namedStream returns s with another name, source of the idempotency key and number
// of retries.
func namedStream(s planner.Stream, name string, keySource planner.KeySource, retries int) planner.Stream {
	s.Name, s.KeySource, s.Retries = name, keySource, retries
	return s
}
