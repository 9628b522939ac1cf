package scenarist

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/breaker"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

const mishapsTime = 14 * time.Second

const killed = "instance killed and replaced"

// action begins or ends a failure; i is the instance that it concerns.
type action func(t *Trial, c *deployer.Cluster, i *launcher.Instance) error

// mishap is a failure that begins and ends.
type mishap struct {
	name       string
	begin, end action
}

func failures() []mishap {
	cut := each((*breaker.Proxy).CloseConns)
	return []mishap{
		{killed, kill, replace},
		{"instance paused", send(syscall.SIGSTOP), send(syscall.SIGCONT)},
		{"servers slow", modes(30, false, false), modes(1, false, false)},
		{"servers fail fast", modes(1, true, false), modes(1, false, false)},
		{"servers drain", modes(1, false, true), modes(1, false, false)},
		{"connections silent", each(func(b *breaker.Proxy) { b.SilenceConns() }), cut},
		{"connections cut", cut, cut},
		{"platform down", down(true), down(false)},
		{"list empty", empty, full},
		{"zone separated", part, heal},
	}
}

// event is the begin or end of a mishap.
type event struct {
	at       time.Duration
	text     string
	do       action
	index    int
	instance *launcher.Instance // Used instead of index by soak.
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
	r := t.start(c, t.settled(end))
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
			event{at: from, text: all[i].name + " (begins)", do: all[i].begin, index: n},
			event{at: till, text: all[i].name + " (ends)", do: all[i].end, index: n})
	}
	slices.SortFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

func kill(_ *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	c.Kill(i)
	return nil
}

func replace(t *Trial, c *deployer.Cluster, i *launcher.Instance) error { return c.Replace(t.ctx, i) }

func send(sig syscall.Signal) action {
	return func(_ *Trial, _ *deployer.Cluster, i *launcher.Instance) error { return i.Signal(sig) }
}

// modes sets the state of every third backend server.
func modes(slow float64, failing, draining bool) action {
	return func(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
		for _, all := range c.Stager.Servers {
			for i := 0; i < len(all); i += 3 {
				all[i].SetSlowdown(slow)
				all[i].Failing.Store(failing)
				all[i].Draining.Store(draining)
			}
		}
		return nil
	}
}

func each(do func(*breaker.Proxy)) action {
	return func(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
		for _, b := range c.Breakers {
			do(b)
		}
		return nil
	}
}

func down(on bool) action {
	return func(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
		c.Stager.Platform.Unavailable.Store(on)
		return nil
	}
}

func empty(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Stager.Platform.SetList(nil)
	return nil
}

func full(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.List(nil)
	return nil
}

func part(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Part(deployer.Zones[len(deployer.Zones)-1])
	return nil
}

func heal(_ *Trial, c *deployer.Cluster, _ *launcher.Instance) error {
	c.Heal()
	return nil
}
