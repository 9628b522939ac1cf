package scenarist

import (
	"net/http"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/planner"
)

// reads returns urgent reads that take share of the slots of a service.
func (t *Trial) reads(share float64, from, till time.Duration) planner.Stream {
	d := t.deployment
	return planner.Stream{
		Name: "lookup", Service: d.Reads, Path: "/lookup", Rank: parser.Urgent, Idempotent: true,
		Deadline: 2 * time.Second, Rate: t.light() * share * d.Capacity(d.Reads, t.mean(deployer.Read)),
		From: from, Till: till, MeanServiceTime: t.mean(deployer.Read), Sigma: deployer.Sigma,
	}
}

// books returns non-idempotent calls of rank normal.
func (t *Trial) books(service string, share float64, from, till time.Duration) planner.Stream {
	return planner.Stream{
		Name: "book", Service: service, Method: http.MethodPost, Path: "/book", Rank: parser.Normal,
		Deadline: 4 * time.Second, Rate: t.light() * share * t.deployment.Capacity(service, t.mean(deployer.Book)),
		From: from, Till: till, MeanServiceTime: t.mean(deployer.Book), Sigma: deployer.Sigma,
	}
}

// bulk returns non-idempotent calls of rank patient.
func (t *Trial) bulk(service string, share float64, from, till time.Duration) planner.Stream {
	return planner.Stream{
		Name: "bulk", Service: service, Method: http.MethodPost, Path: "/bulk", Rank: parser.Patient,
		Deadline: 5 * time.Second, Rate: t.light() * share * t.deployment.Capacity(service, t.mean(deployer.Bulk)),
		From: from, Till: till, MeanServiceTime: t.mean(deployer.Bulk), Sigma: deployer.Sigma,
	}
}

// light reduces the load in short form, which runs beside other tests.
func (t *Trial) light() float64 {
	if t.Short {
		return 0.25
	}
	return 1
}

func (t *Trial) mean(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.deployment.Scale)
}

// named returns s with another name and identity.
func named(s planner.Stream, name string, id planner.IdentitySource, retries int) planner.Stream {
	s.Name, s.Identity, s.Retries = name, id, retries
	return s
}
