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
	"sardinelever.example/sardinelever/internal/standin/injector"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

const (
	defaultSoakDuration = 20 * time.Second
	// soakRecovery is the time without failures at the end. In its last soakMeasured,
	// reads must be served again.
	soakRecovery = 9 * time.Second
	soakMeasured = 3 * time.Second
	soakTarget   = 99.0 // Per cent of the reads that must be served in soakMeasured, the same as in the scenario silent.
	// maxFailureGap bounds the time from the begin of one failure to the next;
	// minFailureDuration and maxFailureDuration bound how long one lasts. With
	// these values several failures overlap most of the time.
	maxFailureGap       = 1200 * time.Millisecond
	minFailureDuration  = 200 * time.Millisecond
	maxFailureDuration  = 3 * time.Second
	soakConnectionDelay = 120 * time.Millisecond
	// minRunningInstances is the number of running instances that are never stopped,
	// killed or reserved for that.
	minRunningInstances = 2
)

// soakRun begins and ends failures at random and holds the state that they share.
type soakRun struct {
	trial       *Trial
	cluster     *deployer.Cluster
	watcher     *configWatcher
	rng         *rand.Rand
	version     uint64
	pendingEnds []failureEvent // Ends of the failures that last.

	mu              sync.Mutex
	stoppedOrKilled map[*launcher.Instance]bool // Instances that are being or were stopped or killed, but not their replacements.
	leaving         map[string]bool             // Names of the stopping instances that the list shows as leaving.
	stopped         []*launcher.Instance        // Instances that must end by themselves.
}

// runSoak causes failures at random, several at a time, and checks that reads are
// served again in a time without failures at the end.
func runSoak(t *Trial) error {
	c := t.newCluster()
	c.UseServerProxies, c.UseZoneProxies = true, true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(defaultSoakDuration)
	if t.SoakDuration > 0 {
		end = t.SoakDuration
	}
	s := &soakRun{
		trial: t, cluster: c, watcher: newConfigWatcher(t, c), rng: rand.New(rand.NewPCG(t.Seed, 815)), version: 1,
		stoppedOrKilled: make(map[*launcher.Instance]bool), leaving: make(map[string]bool),
	}
	go s.watcher.poll()
	load := t.startStreams(c, t.mixedStreams(end+soakRecovery))
	if err := s.injectFailures(load, end); err != nil {
		return err
	}
	replaced := t.awaitReplacements()
	load.sleepUntil(end + soakRecovery)
	s.watcher.stopPolling()
	calls := load.awaitCalls("calls under failures in series")
	t.checkCorrectness(c, calls)
	t.checkExits(s.stopped)
	t.checkAlways(s.watcher.reverts == 0, "%d times an older version was in force again", s.watcher.reverts)
	from := end + soakRecovery - soakMeasured
	sum := recorder.SummarizeCalls(load.driver.Recorder.Calls(recorder.DueBetween("lookup", load.start, from, end+soakRecovery)))
	t.checkTarget(outcomePercent(sum, recorder.Served) >= soakTarget, "%.2f%% of the reads of the last %v served, target %v%%", outcomePercent(sum, recorder.Served), soakMeasured, soakTarget)
	return replaced
}

// injectFailures begins failures at random until end, and ends all of them by then.
func (s *soakRun) injectFailures(load *loadRun, end time.Duration) error {
	all := s.allFailures()
	for at := time.Duration(0); at < end; at += time.Duration(s.rng.Int64N(int64(maxFailureGap))) {
		if err := s.endFailures(load, at); err != nil {
			return err
		}
		f := all[s.rng.IntN(len(all))]
		i := s.pickInstance()
		load.sleepUntil(at)
		s.trial.printf("%v: %s (begins, %s)\n", at.Round(time.Millisecond), f.name, i.Settings.Name)
		if err := s.runAction(f.begin, i); err != nil {
			return err
		}
		duration := minFailureDuration + time.Duration(s.rng.Int64N(int64(maxFailureDuration-minFailureDuration)))
		if f.end != nil {
			s.pendingEnds = append(s.pendingEnds, failureEvent{at: min(at+duration, end), text: f.name, action: f.end, instance: i})
		}
	}
	return s.endFailures(load, end)
}

// endFailures ends, each at its time, the failures that are due to end by until.
func (s *soakRun) endFailures(load *loadRun, until time.Duration) error {
	slices.SortStableFunc(s.pendingEnds, func(a, b failureEvent) int { return int(a.at - b.at) })
	for len(s.pendingEnds) > 0 && s.pendingEnds[0].at <= until {
		e := s.pendingEnds[0]
		s.pendingEnds = s.pendingEnds[1:]
		load.sleepUntil(e.at)
		s.trial.printf("%v: %s (ends, %s)\n", e.at.Round(time.Millisecond), e.text, e.instance.Settings.Name)
		if err := s.runAction(e.action, e.instance); err != nil {
			return err
		}
	}
	return nil
}

// runAction runs a on i. It is no error if the process of i has ended meanwhile.
func (s *soakRun) runAction(a action, i *launcher.Instance) error {
	if err := a(s.trial, s.cluster, i); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

func (s *soakRun) pickInstance() *launcher.Instance {
	all := s.cluster.RunningInstances()
	return all[s.rng.IntN(len(all))]
}

// allFailures returns basicFailures, with kills that leave enough instances running,
// and further failures that only soak causes.
func (s *soakRun) allFailures() []failure {
	all := slices.DeleteFunc(basicFailures(), func(f failure) bool { return f.name == killedName })
	return append(all,
		failure{killedName, s.killInstance, nil},
		failure{"instance stopped and replaced", s.terminateInstance, nil},
		failure{"settings read again", sendSignal(syscall.SIGHUP), nil},
		failure{"configuration published", s.publishVersion, nil},
		failure{"connections delayed", delayConnections(soakConnectionDelay), delayConnections(0)},
		failure{"answers lost", forEachProxy((*injector.Proxy).DropResponses), forEachProxy((*injector.Proxy).CloseConns)},
	)
}

// reserveInstance adds i to stoppedOrKilled, so that the caller can stop or kill
// it. It returns false if i is already in it or if too few other instances would
// be left.
func (s *soakRun) reserveInstance(i *launcher.Instance) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, o := range s.cluster.RunningInstances() {
		if !s.stoppedOrKilled[o] {
			left++
		}
	}
	if s.stoppedOrKilled[i] || left <= minRunningInstances {
		return false
	}
	s.stoppedOrKilled[i] = true
	return true
}

// killInstance kills and replaces i, unless i cannot be reserved.
func (s *soakRun) killInstance(t *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	if s.reserveInstance(i) {
		t.startReplacement(c, i)
	}
	return nil
}

// terminateInstance stops and replaces i, unless i cannot be reserved. Callers may
// use their open connections to i until it has ended.
func (s *soakRun) terminateInstance(t *Trial, c *deployer.Cluster, i *launcher.Instance) error {
	if !s.reserveInstance(i) {
		return nil
	}
	s.mu.Lock()
	s.leaving[i.Settings.Name] = true
	s.stopped = append(s.stopped, i)
	s.mu.Unlock()
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	r := &replacement{trial: t, cluster: c, instance: i, result: make(chan error, 1), stopInstance: s.drainInstance}
	t.replacements = append(t.replacements, r)
	go r.run()
	return nil
}

// drainInstance lists i as leaving, stops new calls to it entranceLag later and waits
// for the end of its process.
func (s *soakRun) drainInstance(i *launcher.Instance) {
	s.mu.Lock()
	leaving := make(map[string]bool, len(s.leaving))
	for name := range s.leaving {
		leaving[name] = true
	}
	s.mu.Unlock()
	s.cluster.PublishList(leaving)
	time.Sleep(balancerLag)
	s.cluster.Balancer.RemoveInstance(i.CallersURL())
	<-i.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leaving, i.Settings.Name)
}

func (s *soakRun) publishVersion(*Trial, *deployer.Cluster, *launcher.Instance) error {
	s.version++
	return errors.Wrap(s.watcher.publishVersion(s.version), fmt.Sprint("version ", s.version))
}

// delayConnections returns an action that delays what is forwarded on all
// connections to backend servers by d for each read.
func delayConnections(d time.Duration) action {
	return forEachProxy(func(p *injector.Proxy) { p.ReadDelayNanos.Store(int64(d)) })
}
