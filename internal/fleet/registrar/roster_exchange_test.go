package registrar_test

import (
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// TestMergeRoster guards against members that stay unknown without a list, against
// a suspected member that an outdated roster shows as alive, and against an earlier
// process that replaces a later one.
func TestMergeRoster(t *testing.T) {
	h := newTableHarness(2)
	state := func() (registrar.State, uint64) {
		for _, m := range h.table.Members(h.now) {
			if m.Name == "i5" {
				return m.State, m.Incarnation
			}
		}
		return registrar.Gone, 0
	}
	other := newMember(5)
	other.Incarnation = 7
	h.table.MergeRosterMember(h.now, other)
	if s, n := state(); s != registrar.Alive || n != 7 {
		t.Fatalf("got %v of process %d, want alive of 7", s, n)
	}
	h.table.HandleDialResult(h.now, other, connector.Hello{}, errDial)
	h.table.MergeRosterMember(h.now, other)
	if s, _ := state(); s != registrar.Suspect {
		t.Errorf("got %v after a roster of others, want suspect", s)
	}
	other.Incarnation = 6
	h.table.MergeRosterMember(h.now, other)
	if _, n := state(); n != 7 {
		t.Errorf("got process %d, want 7: an earlier process must not replace a later one", n)
	}
	other.Incarnation = 8
	h.table.MergeRosterMember(h.now, other)
	if s, n := state(); s != registrar.Alive || n != 8 {
		t.Errorf("got %v of process %d, want alive of 8", s, n)
	}
}
