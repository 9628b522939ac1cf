package router_test

import (
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/router"
)

// TestEvacuatedServers guards against an order that marks servers of other zones, or misses
// those of its zone.
func TestEvacuatedServers(t *testing.T) {
	b := &parser.Bundle{Version: 1, Services: []parser.Service{{Name: "s", Slots: 1}}}
	l := &reader.List{Evacuated: []string{"z1", "z3"}}
	for _, zone := range []string{"z0", "z1", "z10", ""} {
		l.Entries = append(l.Entries, reader.Entry{Name: zone, Zone: zone, Service: "s"})
	}
	for _, s := range router.NewRoutingTable(b, l).Services["s"].Servers {
		if want := s.Zone == "z1"; s.Evacuated != want || s.TakesCalls() == want {
			t.Errorf("zone %q: got evacuated %v and takes calls %v, want %v and %v", s.Zone, s.Evacuated, s.TakesCalls(), want, !want)
		}
	}
}
