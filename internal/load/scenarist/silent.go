package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/recorder"
)

const (
	silentTime   = 24 * time.Second
	silentTarget = 99.0 // Per cent of the reads that must be served from the first second on.
)

// silent makes all open connections to backend servers silent, twice.
func silent(t *Trial) error {
	c := t.cluster()
	c.Fronted = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.span(silentTime)
	r := t.start(c, t.mixture(end))
	var times []time.Duration
	for _, at := range []time.Duration{end / 4, end * 5 / 8} {
		r.until(at)
		n := 0
		for _, b := range c.Breakers {
			n += b.SilenceConns()
		}
		times = append(times, time.Since(r.start))
		t.printf("%d connections are silent from %v\n", n, times[len(times)-1].Round(time.Millisecond))
	}
	calls := r.wait("calls over connections that go silent")
	for _, at := range times {
		for s := range 3 {
			from := at + time.Duration(s)*time.Second
			sum := recorder.SummarizeCalls(r.driver.Recorder.Calls(recorder.DueBetween("lookup", r.start, from, from+time.Second)))
			t.target(percent(sum, recorder.Served) >= silentTarget, "second %d after the silence at %v: %.2f%% of reads served, p99 %v, target %v%%",
				s+1, at.Round(time.Millisecond), percent(sum, recorder.Served), recorder.Percentile(sum.PenalizedLatency, 99), silentTarget)
		}
	}
	t.correct(c, calls)
	t.shareOfUnknown(calls)
	return nil
}
