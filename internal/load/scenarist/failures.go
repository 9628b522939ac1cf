package scenarist

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/injector"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

const twoFailuresDuration = 14 * time.Second

// killedName names the failure that soak replaces by one of its own.
const killedName = "instance killed and replaced"

// action begins or ends a failure. It concerns the instance i, or the whole
// cluster.
type action func(t *Trial, c *deployer.Cluster, i *launcher.Instance) error

// failure is a kind of failure. Its name is the text in reports; a nil end means
// that it ends by itself.
type failure struct {
	name       string
	begin, end action
}

// basicFailures returns the failures that may begin whichever others are in effect.
func basicFailures() []failure {
	cut := forEachProxy((*injector.Proxy).CloseConns)
	return []failure{
		{killedName, killInstance, replaceInstance},
		{"instance paused", sendSignal(syscall.SIGSTOP), sendSignal(syscall.SIGCONT)},
		{"servers slow", setServerModes(30, false, false), setServerModes(1, false, false)},
		{"servers fail fast", setServerModes(1, true, false), setServerModes(1, false, false)},
		{"servers drain", setServerModes(1, false, true), setServerModes(1, false, false)},
		{"connections silent", forEachProxy(func(p *injector.Proxy) { p.SilenceConns() }), cut},
		{"connections cut", cut, cut},
		{"platform down", setPlatformDown(true), setPlatformDown(false)},
		{"list empty", publishEmptyList, publishFullList},
		{"zone separated", separateLastZone, reconnectZones},
	}
}

// failureEvent is the begin or end of a failure.
type failureEvent struct {
	at            time.Duration // Since the start of the load.
	text          string
	action        action
	instanceIndex int                // Instance that it concerns, by its position among those running at the start, modulo their number.
	instance      *launcher.Instance // Used by soak instead of instanceIndex.
}

// runTwoFailures is the scenario mishaps: it causes two different failures at times
// drawn from the seed.
func runTwoFailures(t *Trial) error {
	c := t.newCluster()
	c.UseServerProxies, c.UseZoneProxies = true, true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(twoFailuresDuration)
	events := t.drawEvents(end)
	load := t.startStreams(c, t.mixedStreamsWithCallerKeys(end))
	instances := c.RunningInstances()
	for _, e := range events {
		load.sleepUntil(e.at)
		t.printf("%v: %s\n", e.at.Round(time.Millisecond), e.text)
		if err := e.action(t, c, instances[e.instanceIndex%len(instances)]); err != nil {
			return err
		}
	}
	calls := load.awaitCalls("calls under two failures")
	t.checkCorrectness(c, calls)
	t.printUnknownShares(calls)
	return nil
}

// drawEvents returns the begins and ends of two different failures in order of time.
func (t *Trial) drawEvents(end time.Duration) []failureEvent {
	rng := rand.New(rand.NewPCG(t.Seed, 4711))
	var events []failureEvent
	all := basicFailures()
	for n, i := range rng.Perm(len(all))[:2] {
		from := end/10 + time.Duration(rng.Int64N(int64(end/2)))
		till := from + end/10 + time.Duration(rng.Int64N(int64(end/5)))
		events = append(events,
			failureEvent{at: from, text: all[i].name + " (begins)", action: all[i].begin, instanceIndex: n},
			failureEvent{at: till, text: all[i].name + " (ends)", action: all[i].end, instanceIndex: n})
	}
	slices.SortFunc(events, func(a, b failureEvent) int { return int(a.at - b.at) })
	return events
}

func killInstance(_ *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	c.KillInstance(i)
	return nil
}

func replaceInstance(t *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	return c.ReplaceInstance(t.ctx, i)
}

func sendSignal(sig syscall.Signal) action {
	return func(_ *Trial, _ *deployer.Cluster, i *launcher.Instance) error { return i.Signal(sig) }
}

// setServerModes sets the slowdown and the modes of every third backend server of
// each service.
func setServerModes(slow float64, failing, draining bool) action {
	return func(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
		for _, all := range c.Testbed.Servers {
			for i := 0; i < len(all); i += 3 {
				all[i].SetSlowdown(slow)
				all[i].Failing.Store(failing)
				all[i].Draining.Store(draining)
			}
		}
		return nil
	}
}

// forEachProxy applies do to the proxies before all backend servers.
func forEachProxy(do func(*injector.Proxy)) action {
	return func(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
		for _, p := range c.ServerProxies {
			do(p)
		}
		return nil
	}
}

func setPlatformDown(on bool) action {
	return func(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
		c.Testbed.Platform.Unavailable.Store(on)
		return nil
	}
}

func publishEmptyList(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Testbed.Platform.SetList(nil)
	return nil
}

func publishFullList(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.PublishList(nil)
	return nil
}

func separateLastZone(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.SeparateZone(deployer.Zones[len(deployer.Zones)-1])
	return nil
}

func reconnectZones(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.ReconnectZones()
	return nil
}
