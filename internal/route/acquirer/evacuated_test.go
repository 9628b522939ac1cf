package acquirer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// evacuatedEntry is an instance that knows of evacuations which the homes do not know of.
type evacuatedEntry struct {
	*fleet
	*instance
	table router.TableHolder
}

func newEvacuatedEntry(zones ...string) *evacuatedEntry {
	e := &evacuatedEntry{fleet: newFleet(zones, 2, 2, 1)}
	e.instance = e.fleet.instances[0]
	e.RoutingTable, e.Withholder = &e.table, new(withholder.Withholder)
	e.setEvacuated()
	return e
}

// setEvacuated makes the entry know that the given zones are evacuated, and no other.
func (e *evacuatedEntry) setEvacuated(zones ...string) {
	s := *e.fleet.routingTable.Load().Services["guidance"]
	s.Servers = slices.Clone(s.Servers)
	for i := range s.Servers {
		s.Servers[i].Evacuated = slices.Contains(zones, s.Servers[i].Zone)
	}
	e.table.Store(&router.RoutingTable{Version: 1, Services: map[string]*router.Service{"guidance": &s}})
	e.Withholder.SetEvacuatedZones(time.Now(), zones)
}

// zoneOf returns the zone of the slot's server.
func (e *evacuatedEntry) zoneOf(s *acquirer.Slot) string {
	return e.table.Load().FindServer("guidance", s.Server).Zone
}

// TestNoSlotsOfEvacuatedZones guards against new and kept slots of an evacuated zone while
// the homes do not know of the order, against a refusal although another zone has free
// slots, and against an evacuation that does not end.
func TestNoSlotsOfEvacuatedZones(t *testing.T) {
	e := newEvacuatedEntry("a", "b", "c")
	acquireSlot(t, &e.Client).Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond}) // Is kept, if its home allows that.
	for _, zones := range [][]string{{"a"}, {"a", "b"}, {"c"}, {"a", "c"}, {}} {
		e.setEvacuated(zones...)
		for range 10 {
			s := acquireSlot(t, &e.Client)
			if got := e.zoneOf(s); slices.Contains(zones, got) {
				t.Errorf("got a slot in zone %s while %v are evacuated", got, zones)
			}
			s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
		}
	}
	for end := time.Now().Add(5 * time.Second); ; {
		s := acquireSlot(t, &e.Client)
		s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
		if e.zoneOf(s) == "a" {
			break
		}
		if time.Now().After(end) { // Slots of other zones are kept for a short time.
			t.Fatal("got no slot in zone a after the end of its evacuation")
		}
	}
	e.setEvacuated("a", "b", "c")
	var r *acquirer.Refusal
	if _, err := e.Acquire(t.Context(), acquirer.Request{Service: "guidance"}); !errors.As(err, &r) || r.Reason != allocator.ReasonNone || r.RetryAfter <= 0 {
		t.Errorf("got %v with all zones evacuated, want reason none and a delay", err)
	}
}

// TestWaitLeavesEvacuatedZone guards against a request that goes on waiting in an evacuated
// zone, also at a home that does not know of the order: it must get the next slot of
// another zone, and be refused at once when there is none.
func TestWaitLeavesEvacuatedZone(t *testing.T) {
	e := newEvacuatedEntry("a", "b")
	var slots []*acquirer.Slot
	for range 4 {
		slots = append(slots, acquireSlot(t, &e.Client))
	}
	waiting := &waitingRequest{&e.Client, make(chan error, 1)}
	go waiting.run(t.Context())
	e.awaitQueued(t, 2)
	e.setEvacuated("a")
	e.awaitQueued(t, 1)
	for _, s := range slots {
		if e.zoneOf(s) == "b" {
			s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
			break
		}
	}
	if err := <-waiting.result; err != nil {
		t.Errorf("got %v for the request that waited, want a slot in zone b", err)
	}
	go waiting.run(t.Context())
	e.awaitQueued(t, 1)
	e.setEvacuated("a", "b")
	start := time.Now()
	var r *acquirer.Refusal
	if err := <-waiting.result; !errors.As(err, &r) || r.Reason != allocator.ReasonNone || time.Since(start) > 5*time.Second {
		t.Errorf("got %v after %v, want reason none at once", err, time.Since(start))
	}
}

// queuedRequests returns the requests that wait at all homes.
func queuedRequests(f *fleet) (n int) {
	for _, in := range f.instances {
		for _, p := range in.Allocator.PoolStatuses() {
			for _, r := range p.Ranks {
				n += r.Queued
			}
		}
	}
	return n
}

// awaitQueued waits until n requests wait at all homes together.
func (e *evacuatedEntry) awaitQueued(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); queuedRequests(e.fleet) != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d queued requests, want %d", queuedRequests(e.fleet), n)
		}
	}
}

// TestEvacuationOfRegion guards against calls that are refused because all servers of the
// own region are evacuated while another region has free ones.
func TestEvacuationOfRegion(t *testing.T) {
	e := newEvacuatedEntry("a", "b")
	s := *e.fleet.routingTable.Load().Services["guidance"]
	s.Servers = slices.Clone(s.Servers)
	for i := range s.Servers {
		if s.Servers[i].Zone == "b" {
			s.Servers[i].Region = "south"
		}
	}
	e.fleet.routingTable.Store(&router.RoutingTable{Version: 2, Services: map[string]*router.Service{"guidance": &s}})
	for _, in := range e.fleet.instances[2:] {
		in.member.Region, in.Region = "south", "south"
	}
	e.setEvacuated()
	slots := []*acquirer.Slot{acquireSlot(t, &e.Client), acquireSlot(t, &e.Client)}
	waiting := &waitingRequest{&e.Client, make(chan error, 1)}
	go waiting.run(t.Context())
	e.awaitQueued(t, 1)
	e.setEvacuated("a")
	if err := <-waiting.result; err != nil {
		t.Errorf("got %v for the request that waited, want a slot of the other region", err)
	}
	for _, s := range slots {
		s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
	}
}
