package scenarist

import (
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

const (
	drainDuration = 30 * time.Second
	maxLeaveDelay = 3 * time.Second        // Longest time after the announcement that a backend server leaves in which it may still get new calls.
	balancerLag   = 400 * time.Millisecond // Time in which the platform's load balancer notices that an instance stops.
)

// runDrain makes some backend servers leave by the platform's list and others by
// the drain signal in their answers, and stops instances, all under load.
func runDrain(t *Trial) error {
	c := t.newCluster()
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(drainDuration)
	load := t.startStreams(c, t.mixedStreams(end))
	servers := serviceServers(c, t.deployment.ReadService)
	listed, signaled := servers[:len(servers)/5], servers[len(servers)/5:2*len(servers)/5]
	load.sleepUntil(end / 10)
	leaving := make(map[string]bool)
	for _, w := range listed {
		leaving[w.Name] = true
	}
	c.PublishList(leaving)
	listedAt := time.Now()
	load.sleepUntil(end * 2 / 10)
	for _, w := range signaled {
		w.Draining.Store(true)
	}
	var stopped []*launcher.Instance
	for n, i := range c.RunningInstances()[:min(3, t.InstanceCount-1)] {
		load.sleepUntil(end * time.Duration(3+2*n) / 10)
		if err := t.terminateInstance(c, i, leaving); err != nil {
			return err
		}
		stopped = append(stopped, i)
	}
	calls := load.awaitCalls("calls while servers leave and instances stop")
	t.checkAnswered(calls)
	t.checkLastCalls("by list", listed, listedAt)
	t.checkLastCalls("by own signal", signaled, time.Time{})
	t.checkExits(stopped)
	t.checkCorrectness(c, calls)
	return nil
}

// terminateInstance lists i as leaving and sends it SIGTERM. The platform's load
// balancer stops calls to it entranceLag later.
func (t *Trial) terminateInstance(c *deployer.Cluster, i *launcher.Instance, leaving map[string]bool) error {
	leaving[i.Settings.Name] = true
	c.PublishList(leaving)
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.Sleep(balancerLag)
	c.Balancer.RemoveInstance(i.CallersURL())
	return nil
}

// checkLastCalls checks that leaving servers got no call later than maxCallDelay
// after since. A zero since stands for the first answer with the drain signal of
// each server: no instance can know of it earlier.
func (t *Trial) checkLastCalls(how string, servers []*worker.Server, since time.Time) {
	var last time.Duration
	late := 0
	for _, w := range servers {
		from := since
		if from.IsZero() {
			from = w.FirstDrainTime()
		}
		if from.IsZero() {
			continue // It sent no answer with the drain signal, having got neither a call nor a probe.
		}
		passed := w.LastCallTime().Sub(from)
		last = max(last, passed)
		if passed > maxLeaveDelay {
			late++
		}
	}
	t.checkTarget(late == 0, "%d of %d servers that left %s got calls later than %v (last after %v)", late, len(servers), how, maxLeaveDelay, last.Round(time.Millisecond))
}

// checkExits checks that the stopped instances end by themselves with status 0.
func (t *Trial) checkExits(stopped []*launcher.Instance) {
	failed := 0
	for _, i := range stopped {
		select {
		case <-i.Done():
			if i.Err() != nil {
				failed++
				t.printf("  %s ended with %v\n", i.Settings.Name, i.Err())
			}
		case <-time.After(10 * time.Second):
			failed++
			t.printf("  %s did not end\n", i.Settings.Name)
		}
	}
	t.checkAlways(failed == 0, "%d of %d stopped instances did not end with status 0", failed, len(stopped))
}
