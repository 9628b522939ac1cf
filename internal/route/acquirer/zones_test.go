package acquirer_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/balancer"
)

// newZonedFleet returns a fleet of two zones with one backend server of 2 slots each,
// whose entries divide calls between them by price.
func newZonedFleet(price time.Duration) *fleet {
	f := newFleet([]string{"a", "b"}, 2, 1, 2)
	for _, in := range f.instances {
		in.Allocator.ReportLoad = func() bool { return true }
		in.Balancer = &balancer.Balancer{Zone: in.Zone, Price: price}
	}
	return f
}

// queuedIn returns the requests that wait at the homes of zone.
func (f *fleet) queuedIn(zone string) int {
	n := 0
	for _, in := range f.instances {
		for _, p := range in.Allocator.PoolStatuses() {
			for _, r := range p.Ranks {
				if p.Key.Zone == zone {
					n += r.Queued
				}
			}
		}
	}
	return n
}

// acquireAsync acquires a slot of a call with a target and sends it to the channel; it
// sends nil if there is none.
func acquireAsync(t *testing.T, in *instance, target time.Duration) <-chan *acquirer.Slot {
	slots := make(chan *acquirer.Slot, 1)
	go sendSlot(t, in, target, slots)
	return slots
}

func sendSlot(t *testing.T, in *instance, target time.Duration, slots chan<- *acquirer.Slot) {
	now := time.Now()
	s, err := in.Acquire(t.Context(), acquirer.Request{Service: "guidance", Target: now.Add(target), Deadline: now.Add(10 * time.Second)})
	if err != nil {
		t.Error(err)
	}
	slots <- s
}

// TestPricedCallWaits guards against a call that asks another zone although its bytes
// weigh more than its wait, and against one that stays and misses its target while a
// slot is free there.
func TestPricedCallWaits(t *testing.T) {
	f := newZonedFleet(time.Hour)
	entry := f.instances[0]
	first, second := acquireSlot(t, &entry.Client), acquireSlot(t, &entry.Client)
	entry.Balancer.RecordBytes("guidance", "", 1e6)
	patient := acquireAsync(t, entry, 9*time.Second)
	for deadline := time.Now().Add(5 * time.Second); f.queuedIn("a") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the call does not wait in its own zone")
		}
	}
	if got := f.queuedIn("b"); got != 0 {
		t.Errorf("calls that wait in the other zone: got %d, want 0", got)
	}
	urgent := <-acquireAsync(t, entry, 10*time.Millisecond)
	if urgent == nil || urgent.Server != loopbackAddr(1, 0) {
		t.Fatalf("slot of a call that would miss its target: got %v, want one of the other zone", urgent)
	}
	first.Release(acquirer.Result{ReportedCalls: -1})
	waited := <-patient
	if waited == nil || waited.Server != loopbackAddr(0, 0) {
		t.Fatalf("slot of the call that waited: got %v, want one of its own zone", waited)
	}
	for _, s := range []*acquirer.Slot{second, urgent, waited} {
		s.Release(acquirer.Result{ReportedCalls: -1})
	}
	waitForSlotsInUse(t, f.instances, 0)
}

// TestWaitingCallCrosses guards against a call that keeps waiting in its own zone after it
// has waited for longer than the crossing costs: its zone expects a short wait, but the
// calls there do not end.
func TestWaitingCallCrosses(t *testing.T) {
	f := newZonedFleet(100 * time.Millisecond)
	entry := f.instances[0]
	entry.Balancer.RecordBytes("guidance", "", 1e6)
	for range 100 { // The home learns that calls are short.
		s := acquireSlot(t, &entry.Client)
		s.Release(acquirer.Result{ReportedCalls: -1})
	}
	own := []*acquirer.Slot{acquireSlot(t, &entry.Client), acquireSlot(t, &entry.Client)}
	start := time.Now()
	crossed := <-acquireAsync(t, entry, 9*time.Second)
	if crossed == nil || crossed.Server != loopbackAddr(1, 0) {
		t.Fatalf("got the slot %v, want one of the other zone", crossed)
	}
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Errorf("got the slot after %v, want at least the price of 100ms", took)
	}
	for _, s := range append(own, crossed) {
		s.Release(acquirer.Result{ReportedCalls: -1})
	}
	waitForSlotsInUse(t, f.instances, 0)
}

// TestOtherZoneCutOff guards against lost calls and slots when the zone that takes over
// calls is cut off: the slots in use there stay counted, and later calls are served in
// their own zone.
func TestOtherZoneCutOff(t *testing.T) {
	f := newZonedFleet(time.Second)
	entry := f.instances[0]
	own := []*acquirer.Slot{acquireSlot(t, &entry.Client), acquireSlot(t, &entry.Client)}
	crossed := <-acquireAsync(t, entry, 10*time.Millisecond)
	if crossed == nil || crossed.Server != loopbackAddr(1, 0) {
		t.Fatalf("slot while the own zone is full: got %v, want one of the other zone", crossed)
	}
	for _, in := range f.instances[2:] {
		f.breakStreams(in.Name, true)
	}
	own[0].Release(acquirer.Result{ReportedCalls: -1})
	for range 20 {
		s := <-acquireAsync(t, entry, 10*time.Millisecond)
		if s == nil || s.Server != loopbackAddr(0, 0) {
			t.Fatalf("slot after the cut: got %v, want one of the own zone", s)
		}
		s.Release(acquirer.Result{ReportedCalls: -1})
	}
	for _, st := range entry.Balancer.RouteStatuses(time.Now()) {
		if len(st.Shares) > 0 {
			t.Errorf("shares after the cut: got %v, want none", st.Shares)
		}
	}
	crossed.Release(acquirer.Result{ReportedCalls: -1})
	own[1].Release(acquirer.Result{ReportedCalls: -1})
	waitForSlotsInUse(t, f.instances, 0)
}

// TestOtherZoneSilent guards against calls that wait for a home in another zone which
// was cut off without a sign while part of the calls was sent there first.
func TestOtherZoneSilent(t *testing.T) {
	f := newZonedFleet(time.Second)
	for _, in := range f.instances[2:] {
		f.silent[in.Name] = true
	}
	entry := f.instances[0]
	entry.Balancer.Random = func() float64 { return 0 }
	own, other := allocator.PoolKey{Service: "guidance", Zone: "a"}, allocator.PoolKey{Service: "guidance", Zone: "b"}
	for now := time.Now().Add(-time.Second); now.Before(time.Now()); now = now.Add(100 * time.Millisecond) {
		entry.Balancer.Observe(now, own, allocator.Load{Rate: 100, Work: 100 * time.Millisecond, Slots: 2, Waits: [3]time.Duration{time.Second, time.Second, time.Second}})
		entry.Balancer.Observe(now, other, allocator.Load{Rate: 1, Work: 100 * time.Millisecond, Slots: 2, Free: 2})
		entry.Balancer.Choose(now, balancer.Call{Service: "guidance"}, []allocator.PoolKey{own}, []allocator.PoolKey{other})
	}
	start := time.Now()
	s := acquireSlot(t, &entry.Client)
	if took := time.Since(start); took >= 500*time.Millisecond {
		t.Errorf("got a slot after %v, want one before the stream to the silent home fails after 500ms", took)
	}
	if s.Server != loopbackAddr(0, 0) {
		t.Errorf("got a slot of %v, want one of the own zone", s.Server)
	}
	if st := entry.Balancer.RouteStatuses(time.Now()); len(st) != 1 || len(st[0].Shares) > 0 {
		t.Errorf("shares: got %v, want none", st)
	}
	s.Release(acquirer.Result{ReportedCalls: -1})
	waitForSlotsInUse(t, f.instances, 0)
}
