package registrar_test

import (
	"math"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
)

// TestHeardShare guards against an instance that counts itself as connected to the fleet
// after it was cut off from all or from half of it.
func TestHeardShare(t *testing.T) {
	const within = 1600 * time.Millisecond
	h := newTableHarness(7)
	check := func(step string, want float64) {
		t.Helper()
		if got := h.table.HeardShare(h.now, within); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: got share %v, want %v", step, got, want)
		}
	}
	hear := func(n int, seq uint64) {
		for _, m := range newMembers(n + 1)[1:] {
			h.receiveHeartbeat(m, 1, seq)
		}
	}
	check("before any heartbeat", 1.0/7)
	hear(6, 1)
	check("all heard", 1)
	h.passTime(within + time.Millisecond)
	check("cut off", 1.0/7)
	hear(3, 2)
	check("half of the neighbours heard", 0.5)
	h.passTime(2 * time.Second)
	hear(3, 3)
	for _, m := range h.table.OverdueNeighbours(h.now) {
		h.table.HandleDialResult(h.now, m, connector.Hello{}, errDial)
	}
	h.table.SetNeighbours(h.now, newMembers(4)[1:])
	check("three members suspected", 4.0/7)
}
