package registrar_test

import (
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

// TestMeet guards against members that stay unknown without a list, against a
// dead member that a roster revives, and against an old process that replaces a
// new one.
func TestMeet(t *testing.T) {
	w := newWorld(2)
	state := func() (registrar.State, uint64) {
		for _, m := range w.t.Members(w.now) {
			if m.Name == "i5" {
				return m.State, m.Incarnation
			}
		}
		return registrar.Gone, 0
	}
	met := member(5)
	met.Incarnation = 7
	w.t.Meet(w.now, met)
	if s, n := state(); s != registrar.Alive || n != 7 {
		t.Fatalf("got %v of process %d, want alive of 7", s, n)
	}
	w.t.Dialed(w.now, met, linker.Hello{}, errDial)
	w.t.Meet(w.now, met)
	if s, _ := state(); s != registrar.Suspect {
		t.Errorf("got %v after a roster of others, want suspect", s)
	}
	met.Incarnation = 6
	w.t.Meet(w.now, met)
	if _, n := state(); n != 7 {
		t.Errorf("got process %d, want 7: an older one does not come back", n)
	}
	met.Incarnation = 8
	w.t.Meet(w.now, met)
	if s, n := state(); s != registrar.Alive || n != 8 {
		t.Errorf("got %v of process %d, want alive of 8", s, n)
	}
}
