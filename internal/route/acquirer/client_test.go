package acquirer_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/route/acquirer"
)

// TestZoneSpillover guards against entries that queue in their own availability zone
// while another one has free slots, and against more calls at a server than its limit.
func TestZoneSpillover(t *testing.T) {
	f := newFleet([]string{"a", "b"}, 2, 2, 2)
	used := make(map[string]int)
	var slots []*acquirer.Slot
	for i := range 8 {
		s := acquireSlot(t, &f.instances[i%2].Client)
		slots = append(slots, s)
		if used[s.Server.String()]++; used[s.Server.String()] > 2 {
			t.Errorf("server %s: got %d calls, want at most 2", s.Server, used[s.Server.String()])
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := f.instances[0].Acquire(ctx, acquirer.Request{Service: "guidance", Deadline: time.Now().Add(time.Minute)})
	var r *acquirer.Refusal
	if !errors.As(err, &r) || r.Reason != "late" {
		t.Errorf("all slots in use: got %v, want reason late", err)
	}
	for _, s := range slots {
		s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
	}
	waitForSlotsInUse(t, f.instances, 0)
}

// TestHomeFailure guards against a home whose failure loses asks, or loses slots in
// use, so that the next home grants them again.
func TestHomeFailure(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 1, 2)
	entry := &f.instances[0].Client
	first := acquireSlot(t, entry)
	for _, in := range f.instances[1:] {
		f.breakStreams(in.Name, true)
	}
	second := acquireSlot(t, entry)
	waitForSlotsInUse(t, f.instances[:1], 2)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if s, err := entry.Acquire(ctx, acquirer.Request{Service: "guidance", Deadline: time.Now().Add(time.Minute)}); err == nil {
		t.Errorf("got a third slot of %s, want none: the new home must know of the first", s.Server)
	}
	first.Release(acquirer.Result{ReportedCalls: -1})
	second.Release(acquirer.Result{ReportedCalls: -1})
	waitForSlotsInUse(t, f.instances, 0)
}

// TestServiceWithoutServers guards against a call that waits for a service without
// backend servers instead of being refused.
func TestServiceWithoutServers(t *testing.T) {
	f := newFleet([]string{"a"}, 1, 0, 1)
	_, err := f.instances[0].Acquire(t.Context(), acquirer.Request{Service: "guidance"})
	var r *acquirer.Refusal
	if !errors.As(err, &r) || r.Reason != "none" {
		t.Errorf("got %v, want reason none", err)
	}
}

// TestSilentHome guards against asks that wait until the deadline for a home that
// accepts the stream and never answers.
func TestSilentHome(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 1, 2)
	for _, in := range f.instances[1:] {
		f.silent[in.Name] = true
	}
	acquireSlot(t, &f.instances[0].Client).Release(acquirer.Result{ReportedCalls: -1})
	waitForSlotsInUse(t, f.instances, 0)
}

// TestHomeChange guards against a new home of a pool that does not count the slots in
// use which the previous home granted.
func TestHomeChange(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 1, 2)
	entry := f.instances[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go entry.Run(ctx)
	slot := acquireSlot(t, &entry.Client)
	for _, in := range f.instances[1:] {
		f.mu.Lock()
		f.unusable[in.Name] = true
		f.mu.Unlock()
	}
	waitForSlotsInUse(t, f.instances[:1], 1)
	slot.Release(acquirer.Result{ReportedCalls: -1})
	waitForSlotsInUse(t, f.instances, 0)
}

// TestRegionPreference guards against calls that leave the region although it has
// backend servers, and against calls that are refused although another region has some.
func TestRegionPreference(t *testing.T) {
	for _, tc := range []struct{ zone, region, want string }{
		{"a", "north", "a"},
		{"c", "north", "a"},
		{"c", "south", "b"},
		{"d", "west", "ab"},
	} {
		f := newFleet([]string{"a", "b"}, 1, 1, 1)
		s := f.routingTable.Load().Services["guidance"]
		s.Servers[1].Region = "south"
		a := &acquirer.Client{RoutingTable: &f.routingTable, Zone: tc.zone, Region: tc.region}
		got := acquireSlot(t, a).Server
		for _, b := range s.Servers {
			if b.Address == got && !strings.Contains(tc.want, b.Zone) {
				t.Errorf("entry in %s, %s: got a server in zone %s, want %s", tc.zone, tc.region, b.Zone, tc.want)
			}
		}
	}
}
