package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

const (
	splitTime   = 16 * time.Second
	splitSettle = 3 * time.Second // Time until silent instances are suspected, section 8 of the design.
	splitTarget = 99.0            // Per cent of the reads that each side serves from then on.
)

// split separates the instances of one zone from those of the others.
func split(t *Trial) error {
	c := t.cluster()
	c.Split = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(splitTime)
	zone := deployer.Zones[len(deployer.Zones)-1]
	r := t.start(c, t.settled(end))
	r.until(end / 4)
	c.Part(zone)
	from := time.Since(r.start)
	r.until(end * 3 / 4)
	c.Heal()
	till := time.Since(r.start)
	calls := r.wait("calls while zone " + zone + " is separated from the others")
	t.sides(r, zone, "just after the separation", from, min(from+splitSettle, till), false)
	t.sides(r, zone, "separated", from+splitSettle, till, true)
	t.sides(r, zone, "after the separation", till+splitSettle, end, true)
	t.correct(c, calls)
	t.shareOfUnknown(calls)
	return nil
}

// sides prints and, if asked, judges the reads that each side served in a part of the trial.
func (t *Trial) sides(r *ride, zone, part string, from, till time.Duration, judge bool) {
	in := make(map[string]bool)
	for _, i := range r.cluster.Running() {
		in[i.CallersURL()] = i.Settings.Zone == zone
	}
	for _, side := range []bool{true, false} {
		var calls []recorder.Call
		for _, c := range r.driver.Recorder.Calls(recorder.DueBetween("lookup", r.start, from, till)) {
			if in[c.Attempts[0].Instance] == side {
				calls = append(calls, c)
			}
		}
		s := recorder.SummarizeCalls(calls)
		name := map[bool]string{true: "zone " + zone, false: "the other zones"}[side]
		text := "%s, " + part + ": %.2f%% of %d reads served, p99 %v"
		if !judge {
			t.printf("  "+text+"\n", name, percent(s, recorder.Served), s.Offered, recorder.Percentile(s.PenalizedLatency, 99))
			continue
		}
		t.target(percent(s, recorder.Served) >= splitTarget, text+", target %v%%", name, percent(s, recorder.Served), s.Offered, recorder.Percentile(s.PenalizedLatency, 99), splitTarget)
	}
}
