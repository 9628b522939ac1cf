package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/load/simulator"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

const (
	policyDuration   = 9 * time.Second
	policyWarmup     = time.Second
	policyLoadShare  = 0.8 // Share of the slots that the calls keep busy, slowdowns included.
	slowdownFactor   = 5
	meanSlowdown     = 300 * time.Millisecond
	meanSlowdownGap  = 8 * time.Second // Mean time between two slowdowns of a backend server.
	serverQueueCalls = 64              // Calls that may wait at one backend server, so that it need not reject calls of the baseline policies.
	maxBoundFactor   = 1.05            // Target for the p99 relative to that of one central queue.
)

// runPolicy sends the same calls with the same slowdowns of backend servers under
// each dispatch policy, and compares the p99 with that of one central queue.
func runPolicy(t *Trial) error {
	d := t.deployment
	g := d.Group(d.ReadService)
	slowdowns := planner.DrawSlowdowns(t.Seed, g.ServerCount, policyDuration, meanSlowdown, meanSlowdownGap, slowdownFactor)
	stream := t.readStream(policyLoadShare, 0, policyDuration)
	stream.Deadline = 5 * time.Second
	// Slowdowns lengthen the calls. A lower rate keeps the load at policyLoadShare.
	stream.Rate /= 1 + (slowdownFactor-1)*meanSlowdown.Seconds()/(meanSlowdown+meanSlowdownGap).Seconds()
	plan := planner.DrawArrivals(t.Seed, []planner.Stream{stream})
	queue := &simulator.CentralQueue{Servers: g.ServerCount, SlotsPerServer: g.Service.Slots, Slowdowns: slowdowns, Seed: t.Seed}
	bound := p99AfterWarmup(plan, queue.Latencies(plan))
	queue.PreferFastServers = true
	t.printf("%.0f calls/s, %d slowdowns; one central queue: p99 %v (%v if it also knew which servers are slow)\n",
		stream.Rate, len(slowdowns), bound, p99AfterWarmup(plan, queue.Latencies(plan)))
	names := []string{"grant", "random", "round", "least"}
	if t.Policy != "" {
		names = []string{t.Policy}
	}
	p99 := make(map[string]time.Duration)
	for _, name := range names {
		var err error
		if p99[name], err = t.measurePolicy(name, plan, slowdowns); err != nil {
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
		t.checkTarget(float64(grant) <= maxBoundFactor*float64(bound), "urgent p99 %v is %.2f times the bound %v, target %v", grant, float64(grant)/float64(bound), bound, maxBoundFactor)
		if best != "" {
			t.printf("  urgent p99 is %.2f times that of the best baseline %s\n", float64(grant)/float64(p99[best]), best)
		}
	} else {
		t.checkAlways(true, "urgent p99 of the baseline %s is %v, bound %v", best, p99[best], bound)
	}
	return nil
}

// p99AfterWarmup returns the p99 of the latencies of the arrivals in plan, leaving
// out those during policyWarmup.
func p99AfterWarmup(plan []planner.Arrival, latencies []time.Duration) time.Duration {
	h := recorder.NewLatencyHistogram()
	for i, d := range latencies {
		if plan[i].At >= policyWarmup {
			recorder.RecordLatency(h, d)
		}
	}
	return recorder.Percentile(h, 99)
}

// measurePolicy runs a cluster with the named policy and returns the p99 of all calls
// after policyWarmup.
func (t *Trial) measurePolicy(name string, plan []planner.Arrival, slowdowns []planner.Slowdown) (time.Duration, error) {
	c := t.newCluster()
	c.Policy = name
	c.SetupServer = func(w *worker.Server) { w.QueueLimit = serverQueueCalls }
	if err := c.Start(t.ctx); err != nil {
		return 0, err
	}
	load := t.startPlan(c, plan)
	s := &slowdownApplier{load: load, servers: serviceServers(c, t.deployment.ReadService), slowdowns: slowdowns}
	s.run()
	load.awaitCalls(name)
	c.Stop()
	t.clusters = nil
	calls := load.driver.Recorder.Calls(recorder.DueBetween("", load.start, policyWarmup, policyDuration))
	return recorder.Percentile(recorder.SummarizeCalls(calls).PenalizedLatency, 99), nil
}

// slowdownApplier slows the backend servers down at the planned times.
type slowdownApplier struct {
	load      *loadRun
	servers   []*worker.Server
	slowdowns []planner.Slowdown
}

// slowdownStep is the time between two updates of the backend servers' speed.
const slowdownStep = 5 * time.Millisecond

func (s *slowdownApplier) run() {
	for now := time.Duration(0); now < policyDuration && s.load.trial.ctx.Err() == nil; now = time.Since(s.load.start) {
		for i, w := range s.servers {
			factor := 1.0
			for _, x := range s.slowdowns {
				if x.Server == i && now >= x.From && now < x.Till {
					factor = x.Factor
				}
			}
			w.SetSlowdown(factor)
		}
		time.Sleep(slowdownStep)
	}
}
