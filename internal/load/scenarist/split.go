package scenarist

import (
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/load/recorder"
)

const (
	splitDuration = 16 * time.Second
	suspicionTime = 3 * time.Second // Time until instances suspect silent ones, section 8 of the design.
	splitTarget   = 99.0            // Per cent of the reads that each side must serve after suspicionTime.
)

// runSplit separates the instances of one zone from those of the other zones for
// half of the trial.
func runSplit(t *Trial) error {
	c := t.newCluster()
	c.UseZoneProxies = true
	if err := c.Start(t.ctx); err != nil {
		return err
	}
	end := t.scaleDuration(splitDuration)
	zone := deployer.Zones[len(deployer.Zones)-1]
	load := t.startStreams(c, t.mixedStreamsWithCallerKeys(end))
	load.sleepUntil(end / 4)
	c.SeparateZone(zone)
	from := time.Since(load.start)
	load.sleepUntil(end * 3 / 4)
	c.ReconnectZones()
	till := time.Since(load.start)
	calls := load.awaitCalls("calls while zone " + zone + " is separated from the others")
	t.reportSides(load, zone, "just after the separation", from, min(from+suspicionTime, till), false)
	t.reportSides(load, zone, "separated", from+suspicionTime, till, true)
	t.reportSides(load, zone, "after the separation", till+suspicionTime, end, true)
	t.checkCorrectness(c, calls)
	t.printUnknownShares(calls)
	return nil
}

// reportSides prints the share of reads that each side of the separation served
// between from and till, and checks it if judge is set.
func (t *Trial) reportSides(load *loadRun, zone, phase string, from, till time.Duration, judge bool) {
	inZone := make(map[string]bool)
	for _, i := range load.cluster.RunningInstances() {
		inZone[i.CallersURL()] = i.Settings.Zone == zone
	}
	for _, side := range []bool{true, false} {
		var calls []recorder.Call
		for _, c := range load.driver.Recorder.Calls(recorder.DueBetween("lookup", load.start, from, till)) {
			if inZone[c.Attempts[0].Instance] == side {
				calls = append(calls, c)
			}
		}
		s := recorder.SummarizeCalls(calls)
		name := map[bool]string{true: "zone " + zone, false: "the other zones"}[side]
		text := "%s, " + phase + ": %.2f%% of %d reads served, p99 %v"
		if !judge {
			t.printf("  "+text+"\n", name, outcomePercent(s, recorder.Served), s.Offered, recorder.Percentile(s.PenalizedLatency, 99))
			continue
		}
		t.checkTarget(outcomePercent(s, recorder.Served) >= splitTarget, text+", target %v%%", name, outcomePercent(s, recorder.Served), s.Offered, recorder.Percentile(s.PenalizedLatency, 99), splitTarget)
	}
}
