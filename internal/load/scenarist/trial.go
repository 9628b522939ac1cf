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
	name       string
	ctx        context.Context
	deployment *deployer.Deployment
	clusters   []*deployer.Cluster
	checks     []check
	replacers  []*replacer
}

type check struct {
	ok   bool
	text string
}

func (t *Trial) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.Out, format, args...) }

// target compares a measured figure with a bound of the requirements. In short
// form it is printed and does not decide.
func (t *Trial) target(ok bool, format string, args ...any) {
	if t.Short {
		t.printf("  not judged: "+format+"\n", args...)
		return
	}
	t.count(ok, format, args...)
}

// count judges a count that must hold in each run, however slow the machine is.
func (t *Trial) count(ok bool, format string, args ...any) {
	c := check{ok: ok, text: fmt.Sprintf(format, args...)}
	t.checks = append(t.checks, c)
	t.printf("  %s: %s\n", map[bool]string{true: "pass", false: "fail"}[ok], c.text)
}

// conclude prints the last line: the first check that failed, or else the first one.
func (t *Trial) conclude() bool {
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

// cluster returns a cluster that is not started yet.
func (t *Trial) cluster() *deployer.Cluster {
	c := &deployer.Cluster{Deployment: t.deployment, Launcher: t.Binary, Instances: t.Instances, Policy: t.Policy}
	t.clusters = append(t.clusters, c)
	return c
}

func (t *Trial) stop() {
	// A replacement that goes on would start an instance after the others ended.
	_ = t.replaced()
	for _, c := range t.clusters {
		c.Stop()
	}
	t.clusters = nil
}

// span shortens a time in short form.
func (t *Trial) span(d time.Duration) time.Duration {
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

// replacer ends an instance and starts another in its place.
type replacer struct {
	trial    *Trial
	cluster  *deployer.Cluster
	instance *launcher.Instance
	err      chan error
	stop     func(*launcher.Instance) // Ends the instance; nil kills it.
}

// replace begins to kill and replace i; replaced waits for its end.
func (t *Trial) replace(c *deployer.Cluster, i *launcher.Instance) {
	r := &replacer{trial: t, cluster: c, instance: i, err: make(chan error, 1)}
	t.replacers = append(t.replacers, r)
	go r.run()
}

func (r *replacer) run() {
	if r.stop != nil {
		r.stop(r.instance)
	} else {
		r.cluster.Kill(r.instance)
	}
	r.err <- r.cluster.Replace(r.trial.ctx, r.instance)
}

// replaced waits for all replacements and returns the first error.
func (t *Trial) replaced() error {
	var first error
	for _, r := range t.replacers {
		if err := <-r.err; err != nil && first == nil {
			first = err
		}
	}
	t.replacers = nil
	return first
}

// ride is a running driver with its cluster.
type ride struct {
	trial   *Trial
	cluster *deployer.Cluster
	driver  *driver.Driver
	use     usage
	start   time.Time
	done    chan struct{}
}

// start begins to send the calls of streams to c.
func (t *Trial) start(c *deployer.Cluster, streams []planner.Stream) *ride {
	return t.startPlan(c, planner.DrawArrivals(t.Seed, streams))
}

func (t *Trial) startPlan(c *deployer.Cluster, plan []planner.Arrival) *ride {
	r := &ride{trial: t, cluster: c, start: time.Now(), done: make(chan struct{})}
	r.driver = &driver.Driver{Plan: plan, Balancer: &c.Entrance, Recorder: new(recorder.Recorder), Start: r.start}
	r.use.begin(c)
	go r.run()
	return r
}

func (r *ride) run() {
	defer close(r.done)
	r.driver.SendCalls(r.trial.ctx)
}

// until waits until d after the start.
func (r *ride) until(d time.Duration) { r.trial.sleep(time.Until(r.start.Add(d))) }

// wait waits for the end of all calls, prints title, table and the use of
// resources, and returns the calls.
func (r *ride) wait(title string) []recorder.Call {
	<-r.done
	calls := r.driver.Recorder.Calls(nil)
	recorder.WriteTable(r.trial.Out, title, calls)
	recorder.WriteReasons(r.trial.Out, calls)
	r.use.print(r.trial)
	r.trial.measuring(r.cluster)
	if r.trial.Report != "" {
		if err := recorder.WritePlot(r.trial.Report, r.trial.name+map[bool]string{true: "-" + r.cluster.Policy}[r.cluster.Policy != ""], calls); err != nil {
			r.trial.printf("  %v\n", err)
		}
	}
	return calls
}
