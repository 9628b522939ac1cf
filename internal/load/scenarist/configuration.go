package scenarist

import (
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
)

const (
	configDuration          = 40 * time.Second
	configChangeInterval    = 2 * time.Second // Time between changes. The expected 4,700 changes a day are one in 18 s.
	configPropagationTarget = 5 * time.Second // From publication until all instances use a change.
	maxMeanReadsPerZone     = 4               // Mean reads per second in a zone: twice the pending watches of its two readers, each counting as one read per second.
	maxReadsPerSecond       = 2000            // Limit of the platform service, section 1.5 of the design.
)

// runConfiguration publishes a change every 2 s while the platform service is slow,
// stale, down and rewound in turn and instances are replaced. It checks how fast
// changes take effect and how often the instances read.
func runConfiguration(t *Trial) error {
	c := t.newCluster()
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(configDuration)
	streams := t.mixedStreams(end)
	for i := range streams {
		streams[i].Rate /= 10
	}
	load := t.startStreams(c, streams)
	w := newConfigWatcher(t, c)
	go w.poll()
	reads := c.Testbed.Platform.ConfigRequests.Load()
	old := c.RunningInstances()
	steps := int(end / configChangeInterval)
	for n := range steps {
		load.sleepUntil(time.Duration(n) * configChangeInterval)
		t.setPlatformFault(c, w, n, steps)
		if err := w.publishVersion(uint64(n + 2)); err != nil {
			return err
		}
		if n%6 == 4 && n/6 < len(old)-1 {
			t.startReplacement(c, old[n/6])
		}
	}
	load.sleepUntil(end + configPropagationTarget)
	w.stopPolling()
	passed := time.Since(load.start).Seconds()
	calls := load.awaitCalls("few calls while the configuration changes")
	rate := float64(c.Testbed.Platform.ConfigRequests.Load()-reads)/passed + w.averagePendingWatches()
	t.checkConfigPropagation(w, rate, c)
	t.checkCorrectness(c, calls)
	return t.awaitReplacements()
}

// setPlatformFault sets the fault of the platform service for step n. Each takes a
// fifth of the steps, in this order: none, slow, stale, down, and rewound, in which
// an old version is published before each change.
func (t *Trial) setPlatformFault(c *deployer.Cluster, w *configWatcher, n, steps int) {
	p := &c.Testbed.Platform
	phase := n * 5 / steps
	if n > 0 && (n-1)*5/steps == phase {
		if phase == 4 {
			p.RepublishRevision(uint64(n / 2))
		}
		return
	}
	t.printf("step %d: platform service is %s\n", n, [...]string{"healthy", "slow", "stale", "down", "rewound before each change"}[phase])
	p.ResponseDelayNanos.Store(0)
	switch phase {
	case 1:
		p.ResponseDelayNanos.Store(int64(400 * time.Millisecond))
	case 2:
		p.ServeRevision(2)
		w.setReachable(false)
	case 3:
		p.ServeRevision(0)
		p.Unavailable.Store(true)
	case 4:
		p.Unavailable.Store(false)
		w.setReachable(true)
	}
}

// checkConfigPropagation checks how fast changes took effect, that no instance went back
// to an older version, that all end with the same one, and the rate of reads.
func (t *Trial) checkConfigPropagation(w *configWatcher, rate float64, c *deployer.Cluster) {
	worst, version, missing := w.slowestChange()
	t.checkTarget(missing == 0 && worst <= configPropagationTarget, "the slowest change (version %d) was in force everywhere after %v, %d never were, target %v",
		version, worst.Round(time.Millisecond), missing, configPropagationTarget)
	t.checkAlways(w.reverts == 0, "%d times an older version was in force again", w.reverts)
	t.checkAlways(len(w.versionsInForce()) == 1, "%d different configurations are in force at the end", len(w.versionsInForce()))
	limit := float64(maxMeanReadsPerZone * len(deployer.Zones))
	t.checkTarget(rate <= limit, "%.1f reads per second on average, a pending watch counting as one, target %.0f", rate, limit)
	peak := c.Testbed.Platform.PeakConfigRequests()
	t.checkAlways(peak <= maxReadsPerSecond, "at most %d reads in one second, permitted %d", peak, maxReadsPerSecond)
}

// publishVersion publishes the first bundle as the given version, with a queue
// length that alternates so that each version differs from the one before.
func (w *configWatcher) publishVersion(version uint64) error {
	b := &parser.Bundle{Version: version, Parent: version - 1}
	for _, g := range w.cluster.Deployment.Groups {
		g.Service.Queue.Calls = 64 + int(version%2)
		b.Services = append(b.Services, g.Service)
	}
	text, err := parser.FormatBundle(b)
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	w.mu.Lock()
	w.published = append(w.published, publication{version: version, reachableAt: time.Now(), unreachable: w.unreachable})
	w.mu.Unlock()
	w.cluster.Testbed.Platform.PublishBundle(text)
	return nil
}
