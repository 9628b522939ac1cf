package scenarist

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/breaker"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

const (
	soakTime = 20 * time.Second
	// soakCalm is the time without failures at the end, and soakJudged its last
	// part, in which calls must be served again.
	soakCalm   = 9 * time.Second
	soakJudged = 3 * time.Second
	soakTarget = 99.0 // Per cent of the reads that are served in soakJudged, as after a silence.
	// mostGap bounds the time between the begins of two failures, leastLast and
	// mostLast the time that one lasts: several overlap at most times.
	mostGap   = 1200 * time.Millisecond
	leastLast = 200 * time.Millisecond
	mostLast  = 3 * time.Second
	soakDelay = 120 * time.Millisecond
	// leastRunning is the number of instances that are not stopped or killed.
	leastRunning = 2
)

// soaker lets failures begin and end at random; it owns what they share.
type soaker struct {
	trial   *Trial
	cluster *deployer.Cluster
	watcher *watcher
	rng     *rand.Rand
	version uint64
	ending  []event

	mu      sync.Mutex
	taken   map[*launcher.Instance]bool // Stopped or killed; their replacements are not.
	leaving map[string]bool
	stopped []*launcher.Instance
}

// soak keeps several failures going at random until the calm end.
func soak(t *Trial) error {
	c := t.cluster()
	c.Fronted, c.Split = true, true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(soakTime)
	if t.Time > 0 {
		end = t.Time
	}
	s := &soaker{
		trial: t, cluster: c, watcher: newWatcher(t, c), rng: rand.New(rand.NewPCG(t.Seed, 815)), version: 1,
		taken: make(map[*launcher.Instance]bool), leaving: make(map[string]bool),
	}
	go s.watcher.run()
	r := t.start(c, t.mixture(end+soakCalm))
	if err := s.disturb(r, end); err != nil {
		return err
	}
	replaced := t.replaced()
	r.until(end + soakCalm)
	s.watcher.finish()
	calls := r.wait("calls under failures in series")
	t.correct(c, calls)
	t.exits(s.stopped)
	t.count(s.watcher.reverts == 0, "%d times an older version was in force again", s.watcher.reverts)
	from := end + soakCalm - soakJudged
	sum := recorder.SummarizeCalls(r.driver.Recorder.Calls(recorder.DueBetween("lookup", r.start, from, end+soakCalm)))
	t.target(percent(sum, recorder.Served) >= soakTarget, "%.2f%% of the reads of the last %v served, target %v%%", percent(sum, recorder.Served), soakJudged, soakTarget)
	return replaced
}

// disturb begins failures until end and waits until all have ended.
func (s *soaker) disturb(r *ride, end time.Duration) error {
	all := s.failures()
	for at := time.Duration(0); at < end; at += time.Duration(s.rng.Int64N(int64(mostGap))) {
		if err := s.endUntil(r, at); err != nil {
			return err
		}
		m := all[s.rng.IntN(len(all))]
		i := s.pick()
		r.until(at)
		s.trial.printf("%v: %s (begins, %s)\n", at.Round(time.Millisecond), m.name, i.Settings.Name)
		if err := s.act(m.begin, i); err != nil {
			return err
		}
		last := leastLast + time.Duration(s.rng.Int64N(int64(mostLast-leastLast)))
		if m.end != nil {
			s.ending = append(s.ending, event{at: min(at+last, end), text: m.name, do: m.end, instance: i})
		}
	}
	return s.endUntil(r, end)
}

// endUntil ends the failures that last until at or less.
func (s *soaker) endUntil(r *ride, at time.Duration) error {
	slices.SortStableFunc(s.ending, func(a, b event) int { return int(a.at - b.at) })
	for len(s.ending) > 0 && s.ending[0].at <= at {
		e := s.ending[0]
		s.ending = s.ending[1:]
		r.until(e.at)
		s.trial.printf("%v: %s (ends, %s)\n", e.at.Round(time.Millisecond), e.text, e.instance.Settings.Name)
		if err := s.act(e.do, e.instance); err != nil {
			return err
		}
	}
	return nil
}

// act does a, which may concern a process that has ended meanwhile.
func (s *soaker) act(a action, i *launcher.Instance) error {
	if err := a(s.trial, s.cluster, i); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

func (s *soaker) pick() *launcher.Instance {
	all := s.cluster.Running()
	return all[s.rng.IntN(len(all))]
}

// failures are those of mishaps and what only a series can hold.
func (s *soaker) failures() []mishap {
	all := slices.DeleteFunc(failures(), func(m mishap) bool { return m.name == killed })
	return append(all,
		mishap{killed, s.kill, nil},
		mishap{"instance stopped and replaced", s.terminate, nil},
		mishap{"settings read again", send(syscall.SIGHUP), nil},
		mishap{"configuration published", s.publish, nil},
		mishap{"connections delayed", delay(soakDelay), delay(0)},
		mishap{"answers lost", each((*breaker.Proxy).DropResponses), each((*breaker.Proxy).CloseConns)},
	)
}

// take reserves i for its end; ok is false when it is taken or too few remain.
func (s *soaker) take(i *launcher.Instance) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, o := range s.cluster.Running() {
		if !s.taken[o] {
			left++
		}
	}
	if s.taken[i] || left <= leastRunning {
		return false
	}
	s.taken[i] = true
	return true
}

func (s *soaker) kill(t *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	if s.take(i) {
		t.replace(c, i)
	}
	return nil
}

// terminate stops i; callers use their open connections until it has ended.
func (s *soaker) terminate(t *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	if !s.take(i) {
		return nil
	}
	s.mu.Lock()
	s.leaving[i.Settings.Name] = true
	s.stopped = append(s.stopped, i)
	s.mu.Unlock()
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	r := &replacer{trial: t, cluster: c, instance: i, err: make(chan error, 1), stop: s.list}
	t.replacers = append(t.replacers, r)
	go r.run()
	return nil
}

// list shows i as leaving, takes it from the entrance a moment later and waits
// for its end.
func (s *soaker) list(i *launcher.Instance) {
	s.mu.Lock()
	leaving := make(map[string]bool, len(s.leaving))
	for name := range s.leaving {
		leaving[name] = true
	}
	s.mu.Unlock()
	s.cluster.List(leaving)
	time.Sleep(lagTime)
	s.cluster.Entrance.RemoveInstance(i.CallersURL())
	<-i.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaving, i.Settings.Name)
}

func (s *soaker) publish(*Trial, *deployer.Cluster, *launcher.Instance) error {
	s.version++
	return errors.Wrap(s.watcher.publish(s.version), fmt.Sprint("version ", s.version))
}

// delay holds up all connections to backend servers.
func delay(d time.Duration) action {
	return each(func(b *breaker.Proxy) { b.ReadDelayNanos.Store(int64(d)) })
}
