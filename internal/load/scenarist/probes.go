package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/standin/worker"
)

const probesDuration = 35 * time.Second

// runProbes makes backend servers slow or failing and replaces instances while few
// calls arrive, so that the instances measure the servers mostly by probes.
func runProbes(t *Trial) error {
	c := t.newCluster()
	costs := make(map[string]time.Duration)
	for _, g := range t.deployment.Groups {
		costs[g.Service.Name] = g.Service.Probe.Cost.AsDuration()
	}
	c.SetupServer = func(w *worker.Server) { w.ProbeDuration = costs[serverService(w.Name)] }
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(probesDuration)
	load := t.startStreams(c, t.mixedStreams(end))
	servers := serviceServers(c, t.deployment.ReadService)
	old := c.RunningInstances()
	for n := range 4 {
		load.sleepUntil(end * time.Duration(1+n) / 6)
		t.disturbServers(servers, n)
		if n >= len(old)-1 {
			continue
		}
		t.startReplacement(c, old[n])
	}
	load.awaitCalls("calls while servers struggle and instances are replaced")
	total, worst := t.printProbes(c)
	t.checkAlways(total > 0, "%d probes were sent", total)
	t.checkAlways(worst <= 1, "measuring took at most %.0f%% of the budget of a backend server in any second", 100*worst)
	return t.awaitReplacements()
}

// disturbServers makes a quarter of the servers slow, half of them failing too, and
// makes another quarter report no load. Each round affects other servers.
func (t *Trial) disturbServers(servers []*worker.Server, round int) {
	for i, w := range servers {
		w.SetSlowdown(map[bool]float64{true: 20, false: 1}[i%4 == round])
		w.Failing.Store(i%8 == round)
		w.ReportNoLoad.Store(i%4 == (round+1)%4)
	}
}

// serverService returns the service of the backend server with the given name, which
// has the form SERVICE-NUMBER.
func serverService(name string) string {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '-' {
			return name[:i]
		}
	}
	return name
}
