package simulator_test

import (
	"slices"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/simulator"
)

// TestLatenciesOfOneQueue guards against a wrong bound: one that is not the
// latency of a first-come-first-served queue would make the target of a policy
// too easy or impossible to meet.
func TestLatenciesOfOneQueue(t *testing.T) {
	const ms = time.Millisecond
	plan := []planner.Arrival{{At: 0, ServiceTime: 10 * ms}, {At: 0, ServiceTime: 4 * ms}, {At: ms, ServiceTime: 5 * ms}, {At: 20 * ms, ServiceTime: 3 * ms}}
	for _, test := range []struct {
		name  string
		queue simulator.CentralQueue
		want  []time.Duration
	}{
		{"two slots", simulator.CentralQueue{Servers: 2, SlotsPerServer: 1}, []time.Duration{10 * ms, 4 * ms, 8 * ms, 3 * ms}},
		{"one slot", simulator.CentralQueue{Servers: 1, SlotsPerServer: 1}, []time.Duration{10 * ms, 14 * ms, 18 * ms, 3 * ms}},
		{"slow server avoided", simulator.CentralQueue{
			Servers: 2, SlotsPerServer: 2, PreferFastServers: true,
			Slowdowns: []planner.Slowdown{{Server: 0, From: 15 * ms, Till: 30 * ms, Factor: 5}},
		}, []time.Duration{10 * ms, 4 * ms, 5 * ms, 3 * ms}},
	} {
		if got := test.queue.Latencies(plan); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
