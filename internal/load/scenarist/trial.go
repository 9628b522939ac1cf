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
	scenarioName string
	ctx          context.Context
	deployment   *deployer.Deployment
	clusters     []*deployer.Cluster
	checks       []check
	replacements []*replacement
}

// check is the result of one check.
type check struct {
	ok   bool
	text string
}

func (t *Trial) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.Output, format, args...) }

// checkTarget records and prints whether a measured figure meets a target of the
// requirements. In short form it only prints the figure: the load is reduced and
// the machine is shared with other tests.
func (t *Trial) checkTarget(ok bool, format string, args ...any) {
	if t.Short {
		t.printf("  not judged: "+format+"\n", args...)
		return
	}
	t.checkAlways(ok, format, args...)
}

// checkAlways records and prints a check that must pass in every run, however
// slow the machine is.
func (t *Trial) checkAlways(ok bool, format string, args ...any) {
	c := check{ok: ok, text: fmt.Sprintf(format, args...)}
	t.checks = append(t.checks, c)
	t.printf("  %s: %s\n", map[bool]string{true: "pass", false: "fail"}[ok], c.text)
}

// printResult prints the last line of the report, with the first failed check or
// else the first check, and returns whether the trial passed. A trial without
// checks fails.
func (t *Trial) printResult() bool {
	for _, c := range t.checks {
		if !c.ok {
			t.printf("%s: fail %s\n", t.scenarioName, c.text)
			return false
		}
	}
	if len(t.checks) == 0 {
		t.printf("%s: fail nothing was checked\n", t.scenarioName)
		return false
	}
	t.printf("%s: pass %s\n", t.scenarioName, t.checks[0].text)
	return true
}

// newCluster returns a cluster that is not started yet. The trial stops it at its
// end.
func (t *Trial) newCluster() *deployer.Cluster {
	c := &deployer.Cluster{Deployment: t.deployment, Launcher: t.Launcher, InstanceCount: t.InstanceCount, Policy: t.Policy}
	t.clusters = append(t.clusters, c)
	return c
}

func (t *Trial) stopClusters() {
	// A replacement that is still under way would start an instance after its
	// cluster was stopped.
	_ = t.awaitReplacements()
	for _, c := range t.clusters {
		c.Stop()
	}
	t.clusters = nil
}

// scaleDuration returns a quarter of d in short form, else d.
func (t *Trial) scaleDuration(d time.Duration) time.Duration {
	if t.Short {
		return d / 4
	}
	return d
}

// sleep waits for d or until the context of the trial is done.
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
	result       chan error               // Receives one value when the replacement has finished.
	stopInstance func(*launcher.Instance) // Ends the instance; nil kills it.
}

// startReplacement kills and replaces i in the background; awaitReplacements
// waits until that is done.
func (t *Trial) startReplacement(c *deployer.Cluster, i *launcher.Instance) {
	r := &replacement{trial: t, cluster: c, instance: i, result: make(chan error, 1)}
	t.replacements = append(t.replacements, r)
	go r.run()
}

func (r *replacement) run() {
	if r.stopInstance != nil {
		r.stopInstance(r.instance)
	} else {
		r.cluster.KillInstance(r.instance)
	}
	r.result <- r.cluster.ReplaceInstance(r.trial.ctx, r.instance)
}

// awaitReplacements waits for all replacements and returns the first error of
// them in the order in which they were started.
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

// loadRun is the load on a cluster: a driver that sends planned calls, and the
// resources used meanwhile.
type loadRun struct {
	trial   *Trial
	cluster *deployer.Cluster
	driver  *driver.Driver
	meter   usageMeter
	start   time.Time
	done    chan struct{}
}

// startStreams plans the calls of streams and starts to send them to c.
func (t *Trial) startStreams(c *deployer.Cluster, streams []planner.Stream) *loadRun {
	return t.startPlan(c, planner.DrawArrivals(t.Seed, streams))
}

// startPlan starts to send the calls of plan to c.
func (t *Trial) startPlan(c *deployer.Cluster, plan []planner.Arrival) *loadRun {
	l := &loadRun{trial: t, cluster: c, start: time.Now(), done: make(chan struct{})}
	l.driver = &driver.Driver{Plan: plan, Balancer: &c.Balancer, Recorder: new(recorder.Recorder), Start: l.start}
	l.meter.start(c)
	go l.drive()
	return l
}

func (l *loadRun) drive() {
	defer close(l.done)
	l.driver.SendCalls(l.trial.ctx)
}

// sleepUntil waits until d after the start of the load.
func (l *loadRun) sleepUntil(d time.Duration) { l.trial.sleep(time.Until(l.start.Add(d))) }

// awaitCalls waits for the end of all calls and returns them. It prints a table
// of them under title, the most frequent reasons of attempts that were not served
// and the use of resources, checks the probes and, if a report is asked for, plots
// the latencies.
func (l *loadRun) awaitCalls(title string) []recorder.Call {
	<-l.done
	calls := l.driver.Recorder.Calls(nil)
	recorder.WriteTable(l.trial.Output, title, calls)
	recorder.WriteReasons(l.trial.Output, calls)
	l.meter.print(l.trial)
	l.trial.checkProbes(l.cluster)
	if l.trial.ReportDir != "" {
		if err := recorder.WritePlot(l.trial.ReportDir, l.trial.scenarioName+map[bool]string{true: "-" + l.cluster.Policy}[l.cluster.Policy != ""], calls); err != nil {
			l.trial.printf("  %v\n", err)
		}
	}
	return calls
}
