package scenarist

import (
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

const (
	drainTime = 30 * time.Second
	drainGrow = 3 * time.Second // Time from the list showing it until no new call may arrive.
	lagTime   = 400 * time.Millisecond
)

// drain lets backend servers leave by the list and by their own signal, and
// stops instances, all under load.
func drain(t *Trial) error {
	c := t.cluster()
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(drainTime)
	r := t.start(c, t.mixture(end))
	all := workers(c, t.deployment.Reads)
	listed, signaled := all[:len(all)/5], all[len(all)/5:2*len(all)/5]
	r.until(end / 10)
	leaving := make(map[string]bool)
	for _, w := range listed {
		leaving[w.Name] = true
	}
	c.List(leaving)
	shown := time.Now()
	r.until(end * 2 / 10)
	for _, w := range signaled {
		w.Draining.Store(true)
	}
	var stopped []*launcher.Instance
	for n, i := range c.Running()[:min(3, t.Instances-1)] {
		r.until(end * time.Duration(3+2*n) / 10)
		if err := t.terminate(c, i, leaving); err != nil {
			return err
		}
		stopped = append(stopped, i)
	}
	calls := r.wait("calls while servers leave and instances stop")
	t.answered(calls)
	t.lastWork("by list", listed, shown)
	t.lastWork("by own signal", signaled, time.Time{})
	t.exits(stopped)
	t.correct(c, calls)
	return nil
}

// terminate asks i to stop; the platform lists it as leaving and its load
// balancer follows the readiness of i a moment later.
func (t *Trial) terminate(c *deployer.Cluster, i *launcher.Instance, leaving map[string]bool) error {
	leaving[i.Settings.Name] = true
	c.List(leaving)
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(lagTime)
	c.Entrance.RemoveInstance(i.CallersURL())
	return nil
}

// lastWork judges when leaving servers got their last call. Without since the
// time counts from the first answer with the drain signal, as no one can know it before.
func (t *Trial) lastWork(how string, servers []*worker.Server, since time.Time) {
	var last time.Duration
	late := 0
	for _, w := range servers {
		from := since
		if from.IsZero() {
			from = w.FirstDrainTime()
		}
		if from.IsZero() {
			continue // It got neither a call nor a probe.
		}
		passed := w.LastCallTime().Sub(from)
		last = max(last, passed)
		if passed > drainGrow {
			late++
		}
	}
	t.target(late == 0, "%d of %d servers that left %s got calls later than %v (last after %v)", late, len(servers), how, drainGrow, last.Round(time.Millisecond))
}

// exits judges that stopped instances ended by themselves with status 0.
func (t *Trial) exits(stopped []*launcher.Instance) {
	bad := 0
	for _, i := range stopped {
		select {
		case <-i.Done():
			if i.Err() != nil {
				bad++
				t.printf("  %s ended with %v\n", i.Settings.Name, i.Err())
			}
		case <-time.After(10 * time.Second):
			bad++
			t.printf("  %s did not end\n", i.Settings.Name)
		}
	}
	t.count(bad == 0, "%d of %d stopped instances did not end with status 0", bad, len(stopped))
}
