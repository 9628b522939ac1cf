package router_test

import (
	"testing"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/router"
)

// TestPickShares guards against a traffic split that deviates from the weights,
// in total or after any number of calls.
func TestPickShares(t *testing.T) {
	b := &parser.Bundle{
		Version:  1,
		Services: []parser.Service{{Name: "a", Slots: 1}, {Name: "b", Slots: 1}, {Name: "c", Slots: 1}},
		Rules: []parser.Rule{{Host: "h", Path: "/", Parts: []parser.Part{
			{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0},
		}}},
	}
	r := router.NewRoutingTable(b, nil).RulesByHost["h"][0]
	counts := make(map[string]int)
	for n := 1; n <= 300; n++ {
		counts[r.PickService().Name]++
		if want := 0.9 * float64(n); float64(counts["a"]) < want-2 || float64(counts["a"]) > want+2 {
			t.Fatalf("got %d of %d calls, want %.1f within 2", counts["a"], n, want)
		}
	}
	if counts["c"] != 0 {
		t.Errorf("got %d calls of weight 0, want 0", counts["c"])
	}
}

// TestFirstPickShares guards against a traffic split that deviates from the weights where
// only one call falls between two tables, as at each instance of a large fleet.
func TestFirstPickShares(t *testing.T) {
	b := &parser.Bundle{
		Version:  1,
		Services: []parser.Service{{Name: "a", Slots: 1}, {Name: "b", Slots: 1}},
		Rules:    []parser.Rule{{Host: "h", Path: "/", Parts: []parser.Part{{Service: "a", Weight: 75}, {Service: "b", Weight: 25}}}},
	}
	const tables = 4000
	first := 0
	for range tables {
		if router.NewRoutingTable(b, nil).RulesByHost["h"][0].PickService().Name == "a" {
			first++
		}
	}
	// The standard deviation of the share is 0.007.
	if got := float64(first) / tables; got < 0.71 || got > 0.79 {
		t.Errorf("got the part of weight 75 for %.3f of the first calls, want 0.75", got)
	}
}
