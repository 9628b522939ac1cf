package allocator_test

import (
	"strconv"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// setEvacuated applies a table in which zone a, that of all servers, is evacuated or not.
func (d *poolDriver) setEvacuated(service parser.Service, evacuated bool) {
	service.Name = "guidance"
	m := &router.Service{Service: &service}
	for i, a := range d.addrs {
		m.Servers = append(m.Servers, router.BackendServer{Name: strconv.Itoa(i), Address: a, Zone: "a", Evacuated: evacuated})
	}
	d.pool.ApplyTable(d.now, &router.RoutingTable{Services: map[string]*router.Service{"guidance": m}})
}

// TestEvacuatedPoolUnderLoad guards against calls that a home starts in an evacuated zone
// or lets wait for it, against running calls that it forgets, and against a zone that gets
// no calls after the end of the evacuation. The load is 1.3 times the capacity.
func TestEvacuatedPoolUnderLoad(t *testing.T) {
	service := parser.Service{Slots: 2}
	d := newPoolDriver(newSimulation(20, 7), service)
	d.scheduleArrivals(simulatedCall{rank: parser.Normal, work: 220 * time.Millisecond, deadline: time.Time{}.Add(2500 * time.Millisecond)}, 236, 0, 9*time.Second)
	start := d.now
	ordered, lifted := start.Add(3*time.Second), start.Add(6*time.Second)
	d.run(3 * time.Second)
	if running, _ := inFlight(d.pool, d.now); running < 30 || d.pool.QueuedCount() == 0 {
		t.Fatalf("got %d calls in flight and %d queued before the order, want a full pool", running, d.pool.QueuedCount())
	}
	d.setEvacuated(service, true)
	if got := d.pool.QueuedCount(); got != 0 {
		t.Errorf("got %d queued requests right after the order, want 0", got)
	}
	d.run(3 * time.Second)
	if running, _ := inFlight(d.pool, d.now); running != 0 {
		t.Errorf("got %d calls in flight 3 s after the order, want 0", running)
	}
	d.setEvacuated(service, false)
	d.run(4 * time.Second)
	after := 0
	for _, c := range d.calls {
		switch {
		case c.started.After(ordered) && c.started.Before(lifted):
			t.Errorf("a call started %v after the order", c.started.Sub(ordered))
		case c.arrivedAt.After(ordered) && c.arrivedAt.Before(lifted) && c.reason != allocator.ReasonNone:
			t.Errorf("got reason %q for a request %v after the order, want none", c.reason, c.arrivedAt.Sub(ordered))
		case !c.started.Before(lifted):
			after++
		}
	}
	if after < 300 {
		t.Errorf("got %d calls in the 3 s after the end of the evacuation, want at least 300", after)
	}
}

// TestEvacuatedPoolRecallsSlots guards against kept slots and probes of servers that are
// evacuated.
func TestEvacuatedPoolRecallsSlots(t *testing.T) {
	service := parser.Service{Slots: 2, Probe: parser.Probe{Path: "/load", Fresh: parser.Duration(30 * time.Millisecond)}}
	d, e := newPoolDriver(newSimulation(2, 1), parser.Service{Slots: 2}), &replyRecorder{make(map[uint64]allocator.Reply)}
	d.pool.RequestSlot(d.now, newRequest(e, 1, parser.Urgent, d.now.Add(time.Second)))
	d.pool.KeepSlot(d.now, allocator.ID{Owner: e, Number: 1}, tracker.Result{ReportedCalls: -1, Latency: time.Millisecond})
	probes := 0
	d.pool.StartProbe = func(*tracker.Server) { probes++ }
	d.setEvacuated(service, true)
	if got := e.replies[1].Kind; got != allocator.ReplyRecalled {
		t.Errorf("got reply %v to the holder of a kept slot, want recalled", got)
	}
	d.pool.RequestSlot(d.now, newRequest(e, 2, parser.Urgent, d.now.Add(time.Second)))
	if r := e.replies[2]; r.Kind != allocator.ReplyRefused || r.Reason != allocator.ReasonNone || r.RetryAfter <= 0 || probes != 0 {
		t.Errorf("got reply %+v and %d probes, want a refusal with reason none and a delay, and no probe", r, probes)
	}
	d.setEvacuated(service, false)
	if d.pool.RequestSlot(d.now, newRequest(e, 3, parser.Urgent, d.now.Add(time.Second))); probes == 0 {
		t.Error("got no probe after the end of the evacuation")
	}
}
