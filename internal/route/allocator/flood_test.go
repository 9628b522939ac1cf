package allocator_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

const floodDuration = 3 * time.Second

func totalTime(c *simulatedCall) time.Duration { return c.ended.Sub(c.arrivedAt) }

// mixedLoad returns the simulated calls of a load of urgent calls at 30% of
// capacity and patient calls at bulk times the capacity.
func mixedLoad(size int, bulk float64, tail time.Duration) []*simulatedCall {
	s := newSimulation(size, 11)
	rate := float64(size*slotsPerServer) * float64(time.Second/meanWork)
	newPoolDriver(s, parser.Service{Slots: slotsPerServer})
	s.scheduleArrivals(simulatedCall{rank: parser.Urgent, work: meanWork, steady: true, deadline: deadlineAfter(time.Second)}, 0.3*rate, time.Second, floodDuration)
	if bulk > 0 {
		s.scheduleArrivals(simulatedCall{rank: parser.Patient, work: meanWork, steady: true, deadline: deadlineAfter(30 * time.Second)}, bulk*rate, 0, floodDuration)
	}
	s.run(floodDuration + tail)
	return s.calls
}

// TestUrgentLatencyUnderBulkFlood guards against urgent calls that wait behind
// a flood of patient calls.
func TestUrgentLatencyUnderBulkFlood(t *testing.T) {
	for _, size := range []int{10, 20} {
		quiet, flood := mixedLoad(size, 0, time.Second), mixedLoad(size, 5, time.Second)
		quietP99, floodP99 := percentile(quiet, parser.Urgent, 99, totalTime), percentile(flood, parser.Urgent, 99, totalTime)
		wait := percentile(flood, parser.Urgent, 99, (*simulatedCall).wait)
		goodput := float64(countServed(flood, parser.Urgent)+countServed(flood, parser.Patient)) / (floodDuration.Seconds() + 1) / float64(size*slotsPerServer) / float64(time.Second/meanWork)
		t.Logf("%d servers: urgent p99 %v without and %v with the flood (wait %v), goodput %.3f of capacity", size, quietP99, floodP99, wait, goodput)
		if 5*floodP99 > 6*quietP99 {
			t.Errorf("%d servers: urgent p99 under the flood: got %v, want within 1.2 times %v", size, floodP99, quietP99)
		}
		if goodput < 0.95 {
			t.Errorf("%d servers: goodput: got %.3f of capacity, want at least 0.95", size, goodput)
		}
	}
}

// TestRankFloorsUnderUrgentFlood guards against a flood of urgent calls that
// leaves the other ranks without slots.
func TestRankFloorsUnderUrgentFlood(t *testing.T) {
	s := newSimulation(serverCount, 13)
	newPoolDriver(s, parser.Service{Slots: slotsPerServer})
	s.scheduleArrivals(simulatedCall{rank: parser.Urgent, work: meanWork, deadline: deadlineAfter(time.Second)}, 5*capacity, 0, floodDuration)
	s.scheduleArrivals(simulatedCall{rank: parser.Normal, work: meanWork, deadline: deadlineAfter(5 * time.Second)}, 0.2*capacity, 0, floodDuration)
	s.scheduleArrivals(simulatedCall{rank: parser.Patient, work: meanWork, deadline: deadlineAfter(30 * time.Second)}, 0.2*capacity, 0, floodDuration)
	s.run(floodDuration)
	for _, tc := range []struct {
		rank  parser.Rank
		floor float64
	}{{parser.Normal, 0.10}, {parser.Patient, 0.05}} {
		got := float64(countServed(s.calls, tc.rank)) / floodDuration.Seconds() / capacity
		t.Logf("%v: %.3f of capacity", tc.rank, got)
		if got < 0.9*tc.floor {
			t.Errorf("%v: got %.3f of capacity, want at least its floor of %v", tc.rank, got, tc.floor)
		}
	}
}

// TestRankFloorCountsSlotTime guards against a floor counted in calls instead
// of slot time. Patient calls that take 5 times as long as urgent ones would
// then use 5 times their share of the slots.
func TestRankFloorCountsSlotTime(t *testing.T) {
	const length = 5
	s := newSimulation(serverCount, 23)
	newPoolDriver(s, parser.Service{Slots: slotsPerServer})
	s.scheduleArrivals(simulatedCall{rank: parser.Urgent, work: meanWork, deadline: deadlineAfter(time.Second)}, 5*capacity, 0, floodDuration)
	s.scheduleArrivals(simulatedCall{rank: parser.Patient, work: length * meanWork, deadline: deadlineAfter(30 * time.Second)}, 0.2*capacity, 0, floodDuration)
	s.run(floodDuration)
	got := length * float64(countServed(s.calls, parser.Patient)) / floodDuration.Seconds() / capacity
	t.Logf("patient: %.3f of the slots", got)
	if got < 0.9*0.05 || got > 2*0.05 {
		t.Errorf("got %.3f of the slots for patient calls, want about their floor of 0.05", got)
	}
}

// TestGoodputUnderOverload guards against a home that spends its slots under
// overload on calls whose callers have given up.
func TestGoodputUnderOverload(t *testing.T) {
	s := newSimulation(serverCount, 17)
	newPoolDriver(s, parser.Service{Slots: slotsPerServer})
	model := simulatedCall{work: meanWork, deadline: deadlineAfter(10 * time.Second), patience: 300 * time.Millisecond}
	s.scheduleArrivals(model, 2*capacity, 0, floodDuration)
	s.run(floodDuration)
	got := float64(countServed(s.calls, parser.Urgent)) / floodDuration.Seconds() / capacity
	t.Logf("in time: %.3f of capacity, p99 of wait %v", got, percentile(s.calls, parser.Urgent, 99, (*simulatedCall).wait))
	if got < 0.9 {
		t.Errorf("calls served in time: got %.3f of capacity, want at least 0.9", got)
	}
}

// TestFastFailingServers guards against servers that attract calls because they
// fail quickly, including when too many fail to eject them all.
func TestFastFailingServers(t *testing.T) {
	for _, tc := range []struct {
		broken int
		most   float64 // Highest accepted share of failed calls.
	}{{1, 0.01}, {5, 0.05}, {14, 0.7}} {
		s := newSimulation(serverCount, 19)
		s.broken = tc.broken
		newPoolDriver(s, parser.Service{Slots: slotsPerServer})
		s.scheduleArrivals(simulatedCall{work: meanWork, deadline: deadlineAfter(time.Second)}, 0.25*capacity, 0, floodDuration)
		s.run(floodDuration + time.Second)
		failed := 0
		for _, c := range s.calls {
			if c.failed {
				failed++
			}
		}
		share := float64(failed) / float64(len(s.calls))
		t.Logf("%d of %d servers fail fast: %.4f of the calls failed", tc.broken, serverCount, share)
		if share > tc.most {
			t.Errorf("%d of %d servers fail fast: got %.3f of the calls failed, want at most %v", tc.broken, serverCount, share, tc.most)
		}
	}
}
