package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/bounder"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

const (
	policyTime  = 9 * time.Second
	policyWarm  = time.Second
	policyShare = 0.8
	slowFactor  = 5
	slowMean    = 300 * time.Millisecond
	slowRest    = 8 * time.Second
	workerQueue = 64 // Calls that wait at one backend server, so that the baselines need not shed.
	boundFactor = 1.05
)

// policy drives the same calls and slowdowns with each policy.
func policy(t *Trial) error {
	d := t.deployment
	g := d.Group(d.Reads)
	slow := planner.DrawSlowdowns(t.Seed, g.ServerCount, policyTime, slowMean, slowRest, slowFactor)
	stream := t.reads(policyShare, 0, policyTime)
	stream.Deadline = 5 * time.Second
	// The slowdowns use part of the slots, which belongs to the 80%.
	stream.Rate /= 1 + (slowFactor-1)*slowMean.Seconds()/(slowMean+slowRest).Seconds()
	plan := planner.DrawArrivals(t.Seed, []planner.Stream{stream})
	b := &bounder.CentralQueue{Servers: g.ServerCount, SlotsPerServer: g.Service.Slots, Slowdowns: slow, Seed: t.Seed}
	bound := boundP99(plan, b.Latencies(plan))
	b.PreferFastServers = true
	t.printf("%.0f calls/s, %d slowdowns; one central queue: p99 %v (%v if it also knew which servers are slow)\n",
		stream.Rate, len(slow), bound, boundP99(plan, b.Latencies(plan)))
	names := []string{"grant", "random", "round", "least"}
	if t.Policy != "" {
		names = []string{t.Policy}
	}
	p99 := make(map[string]time.Duration)
	for _, name := range names {
		var err error
		if p99[name], err = t.measure(name, plan, slow); err != nil {
			return err
		}
		t.printf("  %s: urgent p99 %v, %.2f times the bound\n", name, p99[name], float64(p99[name])/float64(bound))
	}
	best := ""
	for _, name := range names {
		if name != "grant" && (best == "" || p99[name] < p99[best]) {
			best = name
		}
	}
	if grant := p99["grant"]; grant > 0 {
		t.target(float64(grant) <= boundFactor*float64(bound), "urgent p99 %v is %.2f times the bound %v, target %v", grant, float64(grant)/float64(bound), bound, boundFactor)
		if best != "" {
			t.printf("  urgent p99 is %.2f times that of the best baseline %s\n", float64(grant)/float64(p99[best]), best)
		}
	} else {
		t.count(true, "urgent p99 of the baseline %s is %v, bound %v", best, p99[best], bound)
	}
	return nil
}

func boundP99(plan []planner.Arrival, all []time.Duration) time.Duration {
	h := recorder.NewLatencyHistogram()
	for i, d := range all {
		if plan[i].At >= policyWarm {
			recorder.RecordLatency(h, d)
		}
	}
	return recorder.Percentile(h, 99)
}

// measure returns the p99 of all calls with one policy.
func (t *Trial) measure(name string, plan []planner.Arrival, slow []planner.Slowdown) (time.Duration, error) {
	c := t.cluster()
	c.Policy = name
	c.Setup = func(w *worker.Server) { w.QueueLimit = workerQueue }
	if err := c.Start(t.ctx); err != nil {
		return 0, err
	}
	r := t.startPlan(c, plan)
	s := &slower{ride: r, servers: workers(c, t.deployment.Reads), slow: slow}
	s.run()
	r.wait(name)
	c.Stop()
	t.clusters = nil
	calls := r.driver.Recorder.Calls(recorder.DueBetween("", r.start, policyWarm, policyTime))
	return recorder.Percentile(recorder.SummarizeCalls(calls).PenalizedLatency, 99), nil
}

// slower applies slowdowns to backend servers.
type slower struct {
	ride    *ride
	servers []*worker.Server
	slow    []planner.Slowdown
}

const slowStep = 5 * time.Millisecond

func (s *slower) run() {
	for now := time.Duration(0); now < policyTime && s.ride.trial.ctx.Err() == nil; now = time.Since(s.ride.start) {
		for i, w := range s.servers {
			factor := 1.0
			for _, x := range s.slow {
				if x.Server == i && now >= x.From && now < x.Till {
					factor = x.Factor
				}
			}
			w.SetSlowdown(factor)
		}
		time.Sleep(slowStep)
	}
}
