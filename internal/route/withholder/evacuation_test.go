package withholder_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/withholder"
)

// TestEvacuationIsOfOneZone guards against an order that withholds servers of other zones.
func TestEvacuationIsOfOneZone(t *testing.T) {
	var w withholder.Withholder
	w.SetEvacuatedZones(time.Unix(1000, 0), []string{"z0", "z2"})
	w.SetEvacuatedZones(time.Unix(1005, 0), []string{"z2", "z3"})
	for zone, want := range map[string]bool{"z0": false, "z1": false, "z2": true, "z3": true, "": false} {
		if got := w.IsEvacuated(zone); got != want {
			t.Errorf("zone %q: got evacuated %v, want %v", zone, got, want)
		}
	}
	if got := w.Evacuations()[0].Since; !got.Equal(time.Unix(1000, 0)) {
		t.Errorf("got start %v of an order that was known before, want its own", got)
	}
}
