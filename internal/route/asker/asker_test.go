package asker_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/route/asker"
)

// TestSpill guards against entries that wait in their own zone while another
// zone has free slots, and against oversubscribed servers.
func TestSpill(t *testing.T) {
	f := newFleet([]string{"a", "b"}, 2, 2, 2)
	used := make(map[string]int)
	var slots []*asker.Slot
	for i := range 8 {
		s := acquire(t, &f.instances[i%2].Asker)
		slots = append(slots, s)
		if used[s.Server.String()]++; used[s.Server.String()] > 2 {
			t.Errorf("server %s: got %d calls, want at most 2", s.Server, used[s.Server.String()])
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := f.instances[0].Acquire(ctx, asker.Need{Service: "guidance", Deadline: time.Now().Add(time.Minute)})
	var r *asker.Refusal
	if !errors.As(err, &r) || r.Reason != "late" {
		t.Errorf("all slots in use: got %v, want reason late", err)
	}
	for _, s := range slots {
		s.Release(asker.Result{Busy: -1, Latency: time.Millisecond})
	}
	settle(t, f.instances, 0)
}

// TestHomeLost guards against asks and slots that are lost with their home.
func TestHomeLost(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 1, 2)
	entry := &f.instances[0].Asker
	first := acquire(t, entry)
	for _, in := range f.instances[1:] {
		f.cut(in.Name, true)
	}
	second := acquire(t, entry)
	settle(t, f.instances[:1], 2)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if s, err := entry.Acquire(ctx, asker.Need{Service: "guidance", Deadline: time.Now().Add(time.Minute)}); err == nil {
		t.Errorf("got a third slot of %s, want none: the new home must know of the first", s.Server)
	}
	first.Release(asker.Result{Busy: -1})
	second.Release(asker.Result{Busy: -1})
	settle(t, f.instances, 0)
}

// TestNone guards against a wait for a service without servers.
func TestNone(t *testing.T) {
	f := newFleet([]string{"a"}, 1, 0, 1)
	_, err := f.instances[0].Acquire(t.Context(), asker.Need{Service: "guidance"})
	var r *asker.Refusal
	if !errors.As(err, &r) || r.Reason != "none" {
		t.Errorf("got %v, want reason none", err)
	}
}

// TestSilentHome guards against asks that wait for a home whose stream is open
// but no longer carries anything.
func TestSilentHome(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 1, 2)
	for _, in := range f.instances[1:] {
		f.mute[in.Name] = true
	}
	acquire(t, &f.instances[0].Asker).Release(asker.Result{Busy: -1})
	settle(t, f.instances, 0)
}

// TestHomeMoved guards against a new home that does not count the slots which
// entries still hold from the home before it.
func TestHomeMoved(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 1, 2)
	entry := f.instances[0]
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go entry.Run(ctx)
	slot := acquire(t, &entry.Asker)
	for _, in := range f.instances[1:] {
		f.mu.Lock()
		f.left[in.Name] = true
		f.mu.Unlock()
	}
	settle(t, f.instances[:1], 1)
	slot.Release(asker.Result{Busy: -1})
	settle(t, f.instances, 0)
}

// TestRegions guards against calls that leave the region although it has
// servers, and against calls that fail although another region has some.
func TestRegions(t *testing.T) {
	for _, tc := range []struct{ zone, region, want string }{
		{"a", "north", "a"},
		{"c", "north", "a"},
		{"c", "south", "b"},
		{"d", "west", "ab"},
	} {
		f := newFleet([]string{"a", "b"}, 1, 1, 1)
		s := f.holder.Load().Services["guidance"]
		s.Servers[1].Region = "south"
		a := &asker.Asker{Map: &f.holder, Zone: tc.zone, Region: tc.region}
		got := acquire(t, a).Server
		for _, b := range s.Servers {
			if b.Address == got && !strings.Contains(tc.want, b.Zone) {
				t.Errorf("entry in %s, %s: got a server in zone %s, want %s", tc.zone, tc.region, b.Zone, tc.want)
			}
		}
	}
}
