package scenarist

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

const mishapsTime = 32 * time.Second

// mishap is a failure that begins and ends.
type mishap struct {
	name       string
	begin, end func(*Trial, *deployer.Cluster, *launcher.Instance) error
}

func nothing(*Trial, *deployer.Cluster, *launcher.Instance) error { return nil }

func failures() []mishap {
	return []mishap{
		{"instance killed and replaced", killOne, replaceOne},
		{"instance paused", pauseOne, resumeOne},
		{"servers slow", slowServers, normalServers},
		{"servers fail fast", failServers, normalServers},
		{"servers drain", drainServers, normalServers},
		{"connections silent", silenceAll, nothing},
		{"connections cut", cutAll, cutAll},
		{"platform down", platformDown, platformUp},
		{"list empty", emptyList, fullList},
		{"zone separated", partZone, healZone},
	}
}

// event is the begin or end of a mishap.
type event struct {
	at    time.Duration
	text  string
	do    func(*Trial, *deployer.Cluster, *launcher.Instance) error
	index int
}

// mishaps lets two failures happen at times drawn from the seed.
func mishaps(t *Trial) error {
	c := t.cluster()
	c.Fronted, c.Split = true, true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(mishapsTime)
	events := t.draw(end)
	r := t.start(c, t.mixture(end))
	all := c.Running()
	for _, e := range events {
		r.until(e.at)
		t.printf("%v: %s\n", e.at.Round(time.Millisecond), e.text)
		if err := e.do(t, c, all[e.index%len(all)]); err != nil {
			return err
		}
	}
	calls := r.wait("calls under two failures")
	t.correct(c, calls)
	t.shareOfUnknown(calls)
	return nil
}

// draw returns the events of two different failures in order of time.
func (t *Trial) draw(end time.Duration) []event {
	rng := rand.New(rand.NewPCG(t.Seed, 4711))
	var events []event
	all := failures()
	for n, i := range rng.Perm(len(all))[:2] {
		from := end/10 + time.Duration(rng.Int64N(int64(end/2)))
		till := from + end/10 + time.Duration(rng.Int64N(int64(end/5)))
		events = append(events,
			event{from, all[i].name + " (begins)", all[i].begin, n},
			event{till, all[i].name + " (ends)", all[i].end, n})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func killOne(_ *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	c.Kill(i)
	return nil
}

func replaceOne(t *Trial, c *deployer.Cluster, i *launcher.Instance) error { return t.replace(c, i) }

func pauseOne(_ *Trial, _ *deployer.Cluster, i *launcher.Instance) error {
	return i.Signal(syscall.SIGSTOP)
}

func resumeOne(_ *Trial, _ *deployer.Cluster, i *launcher.Instance) error {
	return i.Signal(syscall.SIGCONT)
}

// modes sets the state of every third backend server.
func modes(c *deployer.Cluster, slow float64, failing, draining bool) {
	for _, all := range c.Stager.Workers {
		for i, w := range all {
			if i%3 == 0 {
				w.Slow(slow)
				w.Failing.Store(failing)
				w.Draining.Store(draining)
			}
		}
	}
}

func slowServers(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	modes(c, 30, false, false)
	return nil
}

func failServers(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	modes(c, 1, true, false)
	return nil
}

func drainServers(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	modes(c, 1, false, true)
	return nil
}

func normalServers(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	modes(c, 1, false, false)
	return nil
}

func silenceAll(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	for _, b := range c.Breakers {
		b.Silence()
	}
	return nil
}

func cutAll(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	for _, b := range c.Breakers {
		b.Cut()
	}
	return nil
}

func platformDown(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Stager.Platform.Down.Store(true)
	return nil
}

func platformUp(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Stager.Platform.Down.Store(false)
	return nil
}

func emptyList(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Stager.Platform.SetList(nil)
	return nil
}

func fullList(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.List(nil)
	return nil
}

func partZone(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Part(deployer.Zones[len(deployer.Zones)-1])
	return nil
}

func healZone(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Heal()
	return nil
}
