package allocator_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// waitRecorder is an Observer that sums up what it receives.
type waitRecorder struct {
	predicted, actual time.Duration
	refused           int
}

func (w *waitRecorder) ObserveRefusal(_, _, _ string) { w.refused++ }

func (w *waitRecorder) ObserveWait(_ string, predicted, actual time.Duration) {
	w.predicted, w.actual = w.predicted+predicted, w.actual+actual
}

// TestPredictedWait guards against predictions that have little to do with the waits
// that follow, and against refusals by them that operators don't see.
func TestPredictedWait(t *testing.T) {
	var (
		waits waitRecorder
		audit auditor.Trail
	)
	r := newReplay(1, uploadServers, 2, fourZones, make(map[string]*replayCount))
	for _, p := range r.pools {
		p.Observer, p.Audit = &waits, &audit
	}
	load := uploadLoad(4)
	r.send(&load, 10*time.Second)
	r.advance(16 * time.Second)
	t.Logf("predicted %v, actual %v in sum, %d refusals", waits.predicted, waits.actual, waits.refused)
	if got := float64(waits.predicted) / float64(waits.actual); got < 0.5 || got > 2 {
		t.Errorf("got predicted waits of %.2f times the actual ones, want 0.5 to 2", got)
	}
	if waits.refused == 0 {
		t.Error("got no refusal, want some at four times the usual load")
	}
	after := make(map[string]bool)
	for _, c := range audit.Changes() {
		after[c.After] = c.Cause == "predicted wait"
	}
	if !after["refused"] {
		t.Errorf("got audit entries %v, want one for the refusals", audit.Changes())
	}
}

// TestLostEntry guards against refusals because no request left the queue between the
// loss of an entry, whose requests are dropped, and the next calls.
func TestLostEntry(t *testing.T) {
	sim := newPoolSimulation(4, 2, 30*time.Millisecond)
	sim.bulk = true // Without it, waits are not predicted.
	sim.syncServers(4, 2, 30*time.Millisecond)
	sim.tickPool()
	upload := callType{"upload", 260 * ms, 3 * time.Second, 4 * time.Second}
	number := uint64(0)
	send := func(n int, then time.Duration) {
		for range n {
			number++
			sim.callTypes[number] = upload
			sim.requestSlot(number)
		}
		sim.advance(then)
	}
	send(8, 2*time.Second)
	send(30, 20*ms)
	sim.pool.CloseSession(sim.now, sim)
	sim.advance(10 * time.Second)
	send(30, 3*time.Second)
	if sim.refused > 0 {
		t.Errorf("got %d calls refused, want 0: the slots serve them within a second", sim.refused)
	}
}
