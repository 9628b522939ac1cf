package scenarist

import (
	"context"
	"fmt"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/driver"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

// Trial is one run of a scenario.
type Trial struct {
	Runner
	name         string
	ctx          context.Context
	deployment   *deployer.Deployment
	clusters     []*deployer.Cluster
	checks       []check
	replacements []*replacement
}

type check struct {
	ok   bool
	text string
}

func (t *Trial) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.Out, format, args...) }

// checkTarget compares a measured figure with a bound of the requirements. In short
// form it is printed and does not decide.
func (t *Trial) checkTarget(ok bool, format string, args ...any) {
	if t.Short {
		t.printf("  not judged: "+format+"\n", args...)
		return
	}
	t.checkAlways(ok, format, args...)
}

// checkAlways judges a count that must hold in each run, however slow the machine is.
func (t *Trial) checkAlways(ok bool, format string, args ...any) {
	c := check{ok: ok, text: fmt.Sprintf(format, args...)}
	t.checks = append(t.checks, c)
	t.printf("  %s: %s\n", map[bool]string{true: "pass", false: "fail"}[ok], c.text)
}

// printResult prints the last line: the first check that failed, or else the first one.
func (t *Trial) printResult() bool {
	for _, c := range t.checks {
		if !c.ok {
			t.printf("%s: fail %s\n", t.name, c.text)
			return false
		}
	}
	if len(t.checks) == 0 {
		t.printf("%s: fail nothing was checked\n", t.name)
		return false
	}
	t.printf("%s: pass %s\n", t.name, t.checks[0].text)
	return true
}

// newCluster returns a cluster that is not started yet.
func (t *Trial) newCluster() *deployer.Cluster {
	c := &deployer.Cluster{Deployment: t.deployment, Launcher: t.Binary, Instances: t.Instances, Policy: t.Policy}
	t.clusters = append(t.clusters, c)
	return c
}

func (t *Trial) stopClusters() {
	// A replacement that goes on would start an instance after the others ended.
	_ = t.awaitReplacements()
	for _, c := range t.clusters {
		c.Stop()
	}
	t.clusters = nil
}

// scaleDuration shortens a time in short form.
func (t *Trial) scaleDuration(d time.Duration) time.Duration {
	if t.Short {
		return d / 4
	}
	return d
}

// sleep waits for d or until the trial is ended.
func (t *Trial) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

// replacement ends an instance and starts another in its place.
type replacement struct {
	trial        *Trial
	cluster      *deployer.Cluster
	instance     *launcher.Instance
	result       chan error
	stopInstance func(*launcher.Instance) // Ends the instance; nil kills it.
}

// startReplacement begins to kill and replace i; replaced waits for its end.
func (t *Trial) startReplacement(c *deployer.Cluster, i *launcher.Instance) {
	r := &replacement{trial: t, cluster: c, instance: i, result: make(chan error, 1)}
	t.replacements = append(t.replacements, r)
	go r.run()
}

func (r *replacement) run() {
	if r.stopInstance != nil {
		r.stopInstance(r.instance)
	} else {
		r.cluster.Kill(r.instance)
	}
	r.result <- r.cluster.Replace(r.trial.ctx, r.instance)
}

// awaitReplacements waits for all replacements and returns the first error.
func (t *Trial) awaitReplacements() error {
	var first error
	for _, r := range t.replacements {
		if err := <-r.result; err != nil && first == nil {
			first = err
		}
	}
	t.replacements = nil
	return first
}

// loadRun is a running driver with its cluster.
type loadRun struct {
	trial   *Trial
	cluster *deployer.Cluster
	driver  *driver.Driver
	meter   usageMeter
	start   time.Time
	done    chan struct{}
}

// startStreams begins to send the calls of streams to c.
func (t *Trial) startStreams(c *deployer.Cluster, streams []planner.Stream) *loadRun {
	return t.startPlan(c, planner.Plan(t.Seed, streams))
}

func (t *Trial) startPlan(c *deployer.Cluster, plan []planner.Arrival) *loadRun {
	l := &loadRun{trial: t, cluster: c, start: time.Now(), done: make(chan struct{})}
	l.driver = &driver.Driver{Plan: plan, Entrance: &c.Entrance, Record: new(recorder.Recorder), Start: l.start}
	l.meter.start(c)
	go l.drive()
	return l
}

func (l *loadRun) drive() {
	defer close(l.done)
	l.driver.Run(l.trial.ctx)
}

// sleepUntil waits until d after the start.
func (l *loadRun) sleepUntil(d time.Duration) { l.trial.sleep(time.Until(l.start.Add(d))) }

// awaitCalls waits for the end of all calls, prints title, table and the use of
// resources, and returns the calls.
func (l *loadRun) awaitCalls(title string) []recorder.Call {
	<-l.done
	calls := l.driver.Record.Calls(nil)
	recorder.Table(l.trial.Out, title, calls)
	recorder.Reasons(l.trial.Out, calls)
	l.meter.print(l.trial)
	l.trial.checkProbes(l.cluster)
	if l.trial.Report != "" {
		if err := recorder.Plot(l.trial.Report, l.trial.name+map[bool]string{true: "-" + l.cluster.Policy}[l.cluster.Policy != ""], calls); err != nil {
			l.trial.printf("  %v\n", err)
		}
	}
	return calls
}
