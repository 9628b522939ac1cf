package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/standin/worker"
)

const probesTime = 35 * time.Second

// probes makes backend servers struggle and replaces instances while few calls
// arrive, so that most of the measuring is done by probes.
func probes(t *Trial) error {
	c := t.cluster()
	costs := make(map[string]time.Duration)
	for _, g := range t.deployment.Parts {
		costs[g.Service.Name] = g.Service.Probe.Cost.AsDuration()
	}
	c.Setup = func(w *worker.Server) { w.ProbeDuration = costs[serviceOf(w.Name)] }
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(probesTime)
	r := t.start(c, t.mixture(end))
	all := workers(c, t.deployment.Reads)
	old := c.Running()
	for n := range 4 {
		r.until(end * time.Duration(1+n) / 6)
		t.struggle(all, n)
		if n >= len(old)-1 {
			continue
		}
		t.replace(c, old[n])
	}
	r.wait("calls while servers struggle and instances are replaced")
	total, worst := t.measured(c)
	t.count(total > 0, "%d probes were sent", total)
	t.count(worst <= 1, "measuring took at most %.0f%% of the budget of a backend server in any second", 100*worst)
	return t.replaced()
}

// struggle makes another quarter of the servers slow and lets some fail.
func (t *Trial) struggle(all []*worker.Server, n int) {
	for i, w := range all {
		w.SetSlowdown(map[bool]float64{true: 20, false: 1}[i%4 == n])
		w.Failing.Store(i%8 == n)
		w.ReportNoLoad.Store(i%4 == (n+1)%4)
	}
}

// serviceOf returns the service of a stand-in backend server, named SERVICE-NUMBER.
func serviceOf(name string) string {
	for i := len(name) - 1; i > 0; i-- {
		if name[i] == '-' {
			return name[:i]
		}
	}
	return name
}
