package scenarist

import (
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/load/deployer"
)

const (
	configTime   = 40 * time.Second
	configStep   = 2 * time.Second // Time between changes; 4,700 a day is one in 18 s.
	configTarget = 5 * time.Second
	configReads  = 4    // Reads per second and zone on average, a pending watch counting as one: two readers, twice.
	configPeak   = 2000 // Reads per second that the service permits, section 1.5 of the design.
)

// configuration publishes a change every 2 s while the platform service is
// slow, stale, down and rewound and instances are replaced.
func configuration(t *Trial) error {
	c := t.cluster()
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(configTime)
	streams := t.mixture(end)
	for i := range streams {
		streams[i].Rate /= 10
	}
	r := t.start(c, streams)
	w := newWatcher(t, c)
	go w.run()
	reads := c.Stager.Platform.ConfigRequests.Load()
	old := c.Running()
	steps := int(end / configStep)
	for n := range steps {
		r.until(time.Duration(n) * configStep)
		t.disturb(c, w, n, steps)
		if err := w.publish(uint64(n + 2)); err != nil {
			return err
		}
		if n%6 == 4 && n/6 < len(old)-1 {
			t.replace(c, old[n/6])
		}
	}
	r.until(end + configTarget)
	w.finish()
	passed := time.Since(r.start).Seconds()
	calls := r.wait("few calls while the configuration changes")
	rate := float64(c.Stager.Platform.ConfigRequests.Load()-reads)/passed + w.pending()
	t.judge(w, rate, c)
	t.correct(c, calls)
	return t.replaced()
}

// disturb switches the platform service to the fault that belongs to step n:
// a fifth each of healthy, slow, stale, down, and rewound.
func (t *Trial) disturb(c *deployer.Cluster, w *watcher, n, steps int) {
	p := &c.Stager.Platform
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
		w.reachable(false)
	case 3:
		p.ServeRevision(0)
		p.Unavailable.Store(true)
	case 4:
		p.Unavailable.Store(false)
		w.reachable(true)
	}
}

func (t *Trial) judge(w *watcher, rate float64, c *deployer.Cluster) {
	worst, version, missing := w.slowest()
	t.target(missing == 0 && worst <= configTarget, "the slowest change (version %d) was in force everywhere after %v, %d never were, target %v",
		version, worst.Round(time.Millisecond), missing, configTarget)
	t.count(w.reverts == 0, "%d times an older version was in force again", w.reverts)
	t.count(len(w.sums()) == 1, "%d different configurations are in force at the end", len(w.sums()))
	limit := float64(configReads * len(deployer.Zones))
	t.target(rate <= limit, "%.1f reads per second on average, a pending watch counting as one, target %.0f", rate, limit)
	peak := c.Stager.Platform.PeakConfigRequests()
	t.count(peak <= configPeak, "at most %d reads in one second, permitted %d", peak, configPeak)
}

// publish publishes version of the first bundle with one field changed.
func (w *watcher) publish(version uint64) error {
	b := &parser.Bundle{Version: version, Parent: version - 1}
	for _, g := range w.cluster.Deployment.Parts {
		g.Service.Queue.Calls = 64 + int(version%2)
		b.Services = append(b.Services, g.Service)
	}
	text, err := parser.FormatBundle(b)
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	w.mu.Lock()
	w.published = append(w.published, publication{version: version, at: time.Now(), unreachable: w.hidden})
	w.mu.Unlock()
	w.cluster.Stager.Platform.PublishBundle(text)
	return nil
}
