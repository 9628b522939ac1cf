package allocator_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Two types of calls of one rank that differ in their work. Under overload, the
// time for which calls use a slot decides how many are served.
var (
	shortCalls = callType{"short", 60 * time.Millisecond, 180 * time.Millisecond, 800 * time.Millisecond}
	longCalls  = callType{"long", 120 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond}
)

// TestShortCallsUnderLongCallFlood guards against short calls that are refused
// because of the work estimated for long calls of their rank, or that wait
// behind these. It combines a flood of long calls with short calls that need a
// quarter of the slots.
func TestShortCallsUnderLongCallFlood(t *testing.T) {
	sim := newPoolSimulation(15, 4, 30*time.Millisecond)
	sim.changeSlowServers()
	sim.tickPool()
	normalSlots := 60 * (1 - slowServerShare)
	sim.sendRequestsOf(shortCalls, 0.25*normalSlots/shortCalls.work.Seconds(), 10*time.Second)
	sim.sendRequestsOf(longCalls, 1.25*normalSlots/longCalls.work.Seconds(), 10*time.Second)
	sim.advance(12 * time.Second)
	short, long := sim.routeCounts["short"], sim.routeCounts["long"]
	if got, want := float64(short[0])/float64(short[1]), 0.9; got < want {
		t.Errorf("got %.3f of the short calls on time, want %v", got, want)
	}
	if got, want := float64(long[0])*longCalls.work.Seconds()/10/normalSlots, 0.5; got < want {
		t.Errorf("got %.3f of the slots used by long calls on time, want %v", got, want)
	}
}

// TestEarlyRefusal guards against refusals during a flood that come too late
// for the caller to retry before its target.
func TestEarlyRefusal(t *testing.T) {
	sim := newPoolSimulation(9, 2, 30*time.Millisecond)
	sim.changeSlowServers()
	sim.tickPool()
	sim.sendRequests(2*18*(1-slowServerShare)/defaultWork.Seconds(), 10*time.Second)
	sim.advance(12 * time.Second)
	if sim.refused == 0 {
		t.Fatal("got no refusal, want some")
	}
	if got, want := sim.longestRefusedWait, defaultTarget/4; got > want {
		t.Errorf("got a refusal after a wait of %v, want at most a quarter of the target, %v", got, want)
	}
}

// TestExternalCallsOccupySlots guards against a home that grants slots that
// external calls already use, such as calls granted by a lost instance or by a
// second home.
func TestExternalCallsOccupySlots(t *testing.T) {
	sim := newPoolSimulation(2, 4, 30*time.Millisecond)
	sim.tickPool()
	sim.externalInFlight[serverAddr(0)], sim.externalInFlight[serverAddr(1)] = 4, 3
	for n := range uint64(4) {
		sim.requestSlot(n + 1)
	}
	sim.advance(20 * time.Millisecond)
	if got, want := [2]int{sim.grants[serverAddr(0)], sim.grants[serverAddr(1)]}, [2]int{0, 1}; got != want {
		t.Errorf("got grants %v, want %v: the other slots are in use", got, want)
	}
	sim.externalInFlight[serverAddr(0)], sim.externalInFlight[serverAddr(1)] = 0, 0
	sim.advance(100 * time.Millisecond)
	if got := sim.grants[serverAddr(0)] + sim.grants[serverAddr(1)]; got != 4 {
		t.Errorf("got %d grants after the foreign calls ended, want 4", got)
	}
}

// TestExternalCallsKeepLimit guards against a home that lowers the limit of a
// server whose refusals are caused by external calls that filled it.
func TestExternalCallsKeepLimit(t *testing.T) {
	sim := newPoolSimulation(1, 6, 30*time.Millisecond)
	sim.tickPool()
	sim.requestSlot(1)
	sim.advance(2 * time.Millisecond)
	for n := range uint64(5) {
		sim.pool.ReleaseSlot(sim.now, allocator.ID{Owner: sim, Number: n + 1}, tracker.Result{Refused: true, ReportedCalls: 18})
		sim.requestSlot(n + 2)
		sim.advance(50 * time.Millisecond)
	}
	if got := sim.pool.Status(sim.now).Servers[0].Limit; got != 6 {
		t.Errorf("got a limit of %d, want 6: other calls filled the server", got)
	}
}

// TestUnknownWork guards against a new home that has not measured the work of
// any call yet and therefore grants slots of slow servers, or accepts calls
// without enough time left to run.
func TestUnknownWork(t *testing.T) {
	sim := newPoolSimulation(2, 2, 30*time.Millisecond)
	sim.tickPool()
	sim.slowdown[serverAddr(0)], sim.slowdown[serverAddr(1)] = slowServerSlowdown, slowServerSlowdown
	sim.requestSlot(1)
	sim.advance(10 * time.Millisecond)
	if len(sim.grants) != 0 {
		t.Errorf("got grants %v, want none while both servers are slow", sim.grants)
	}
	sim.pool.RequestSlot(sim.now, allocator.SlotRequest{
		ID: allocator.ID{Owner: sim, Number: 2}, Rank: parser.Normal,
		Target: sim.now.Add(defaultTarget), Deadline: sim.now.Add(defaultTarget / 10),
	})
	if sim.refused == 0 {
		t.Error("got no refusal of a call with a tenth of its target left, want one at once")
	}
}

// TestDeadlineCutsKeepServers guards against the ejection of servers whose
// calls failed because their callers left them too little time.
func TestDeadlineCutsKeepServers(t *testing.T) {
	sim := newPoolSimulation(3, 6, 30*time.Millisecond)
	sim.tickPool()
	for n := range uint64(30) {
		sim.pool.RequestSlot(sim.now, allocator.SlotRequest{
			ID: allocator.ID{Owner: sim, Number: n}, Rank: parser.Normal, Route: "cut",
			Target: sim.now.Add(defaultTarget), Deadline: sim.now.Add(defaultTarget / 3),
		})
		sim.sentAt[n], sim.callTypes[n] = sim.now, callType{"cut", time.Hour, defaultTarget, defaultTimeout}
		sim.advance(defaultTarget / 3)
		sim.pool.ReleaseSlot(sim.now, allocator.ID{Owner: sim, Number: n}, tracker.Result{Failed: true, ReportedCalls: -1, Latency: defaultTarget / 3})
	}
	for _, s := range sim.pool.Status(sim.now).Servers {
		if s.State != tracker.Ready {
			t.Errorf("got server %v %v, want ready", s.Name, s.State)
		}
	}
}

// TestFastFailuresEject guards against real failures of a server that are taken
// for calls cut by their deadlines because the callers have little time left.
func TestFastFailuresEject(t *testing.T) {
	sim := newPoolSimulation(3, 6, 30*time.Millisecond)
	sim.tickPool()
	for n := range uint64(30) {
		sim.sentAt[n], sim.callTypes[n] = sim.now, callType{"fails", time.Hour, defaultTarget, defaultTarget / 2}
		sim.requestSlot(n)
		sim.advance(10 * time.Millisecond)
		sim.pool.ReleaseSlot(sim.now, allocator.ID{Owner: sim, Number: n}, tracker.Result{Failed: true, ReportedCalls: -1, Latency: 10 * time.Millisecond})
		sim.advance(defaultTarget)
	}
	ejected := 0
	for _, s := range sim.pool.Status(sim.now).Servers {
		if s.State != tracker.Ready {
			ejected++
		}
	}
	if ejected == 0 {
		t.Error("got no server ejected after 30 failures, want one")
	}
}

// TestNearlyFullSlowdown guards against a home that fills servers which slow
// down when nearly full, and against one that leaves slots free on servers
// which do not. It sends a flood of calls to servers with 6 slots of either
// kind.
func TestNearlyFullSlowdown(t *testing.T) {
	share := make(map[float64]float64)
	for _, factor := range []float64{0, 1.7} {
		sim := newPoolSimulation(5, 6, 30*time.Millisecond)
		sim.nearlyFullFactor = factor
		sim.tickPool()
		sim.sendRequestsOf(longCalls, 2*30/longCalls.work.Seconds(), 20*time.Second)
		sim.advance(22 * time.Second)
		share[factor] = float64(sim.routeCounts["long"][0]) * longCalls.work.Seconds() / 20 / 30
	}
	if got, want := share[0], 0.9; got < want {
		t.Errorf("got %.3f of the slots used on time without a slowdown, want %v", got, want)
	}
	// Only four of the six slots can be used at the usual speed.
	if got, want := share[1.7], 0.95*4/6; got < want {
		t.Errorf("got %.3f of the slots used on time with a slowdown, want %.3f", got, want)
	}
}

// TestSheddingKeepsLimit guards against a home that lowers the limits of
// servers which reject a share of their calls although they have free slots.
// When all servers of a service did so for 8 s, its capacity stayed at a sixth
// for half a minute afterwards.
func TestSheddingKeepsLimit(t *testing.T) {
	sim := newPoolSimulation(4, 6, 30*time.Millisecond)
	sim.tickPool()
	for n := range uint64(40) {
		sim.requestSlot(n)
		sim.advance(2 * time.Millisecond)
		sim.pool.ReleaseSlot(sim.now, allocator.ID{Owner: sim, Number: n}, tracker.Result{Refused: true, ReportedCalls: 1})
		sim.advance(defaultWork * 2)
	}
	for _, s := range sim.pool.Status(sim.now).Servers {
		if s.State == tracker.Ready && s.Limit != 6 {
			t.Errorf("got a limit of %d of server %v, want 6", s.Limit, s.Name)
		}
	}
}
