package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/recorder"
)

const (
	silentDuration = 24 * time.Second
	silentTarget   = 99.0 // Per cent of the reads that must be served in each of the three seconds after the silence begins.
)

// runSilent stops the traffic on all open connections to backend servers without
// closing them, twice.
func runSilent(t *Trial) error {
	c := t.newCluster()
	c.UseServerProxies = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(silentDuration)
	load := t.startStreams(c, t.mixedStreams(end))
	var times []time.Duration
	for _, at := range []time.Duration{end / 4, end * 5 / 8} {
		load.sleepUntil(at)
		n := 0
		for _, p := range c.ServerProxies {
			n += p.SilenceConns()
		}
		times = append(times, time.Since(load.start))
		t.printf("%d connections are silent from %v\n", n, times[len(times)-1].Round(time.Millisecond))
	}
	calls := load.awaitCalls("calls over connections that go silent")
	for _, at := range times {
		for s := range 3 {
			from := at + time.Duration(s)*time.Second
			sum := recorder.SummarizeCalls(load.driver.Recorder.Calls(recorder.DueBetween("lookup", load.start, from, from+time.Second)))
			t.checkTarget(outcomePercent(sum, recorder.Served) >= silentTarget, "second %d after the silence at %v: %.2f%% of reads served, p99 %v, target %v%%",
				s+1, at.Round(time.Millisecond), outcomePercent(sum, recorder.Served), recorder.Percentile(sum.PenalizedLatency, 99), silentTarget)
		}
	}
	t.checkCorrectness(c, calls)
	t.printUnknownShares(calls)
	return nil
}
