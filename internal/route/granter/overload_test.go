package granter_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// Two kinds of calls of one rank: under overload the time that a slot is used
// decides how many are served.
var (
	shortCalls = callType{"short", 60 * time.Millisecond, 180 * time.Millisecond, 800 * time.Millisecond}
	longCalls  = callType{"long", 120 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond}
)

// TestShortCallsUnderLongCallFlood guards against short calls that are refused by the work of the
// long ones of their rank, or that wait behind these: it replays a flood of long
// calls beside short ones that need a quarter of the slots.
func TestShortCallsUnderLongCallFlood(t *testing.T) {
	r := newPoolSimulation(15, 4, 30*time.Millisecond)
	r.changeSlowServers()
	r.tickPool()
	slots := 60 * (1 - slowServerShare)
	r.sendRequestsOf(shortCalls, 0.25*slots/shortCalls.work.Seconds(), 10*time.Second)
	r.sendRequestsOf(longCalls, 1.25*slots/longCalls.work.Seconds(), 10*time.Second)
	r.advance(12 * time.Second)
	short, long := r.routeCounts["short"], r.routeCounts["long"]
	if got, want := float64(short[0])/float64(short[1]), 0.9; got < want {
		t.Errorf("got %.3f of the short calls on time, want %v", got, want)
	}
	if got, want := float64(long[0])*longCalls.work.Seconds()/10/slots, 0.5; got < want {
		t.Errorf("got %.3f of the slots used by long calls on time, want %v", got, want)
	}
}

// TestEarlyRefusal guards against a refusal that comes so late in a flood that its
// caller cannot come back in time.
func TestEarlyRefusal(t *testing.T) {
	r := newPoolSimulation(9, 2, 30*time.Millisecond)
	r.changeSlowServers()
	r.tickPool()
	r.sendRequests(2*18*(1-slowServerShare)/defaultWork.Seconds(), 10*time.Second)
	r.advance(12 * time.Second)
	if r.refused == 0 {
		t.Fatal("got no refusal, want some")
	}
	if got, want := r.longestRefusedWait, defaultTarget/4; got > want {
		t.Errorf("got a refusal after a wait of %v, want at most a quarter of the target, %v", got, want)
	}
}

// TestForeignCallsOccupySlots guards against a home that fills servers with calls which run
// there already by the grants of an instance that was lost or of a second home.
func TestForeignCallsOccupySlots(t *testing.T) {
	r := newPoolSimulation(2, 4, 30*time.Millisecond)
	r.tickPool()
	r.foreign[serverAddr(0)], r.foreign[serverAddr(1)] = 4, 3
	for n := range uint64(4) {
		r.requestSlot(n + 1)
	}
	r.advance(20 * time.Millisecond)
	if got, want := [2]int{r.grants[serverAddr(0)], r.grants[serverAddr(1)]}, [2]int{0, 1}; got != want {
		t.Errorf("got grants %v, want %v: the other slots are in use", got, want)
	}
	r.foreign[serverAddr(0)], r.foreign[serverAddr(1)] = 0, 0
	r.advance(100 * time.Millisecond)
	if got := r.grants[serverAddr(0)] + r.grants[serverAddr(1)]; got != 4 {
		t.Errorf("got %d grants after the foreign calls ended, want 4", got)
	}
}

// TestForeignCallsKeepLimit guards against a home that lowers the limit of a server
// that refused because the calls of another home filled it.
func TestForeignCallsKeepLimit(t *testing.T) {
	r := newPoolSimulation(1, 6, 30*time.Millisecond)
	r.tickPool()
	r.requestSlot(1)
	r.advance(2 * time.Millisecond)
	for n := range uint64(5) {
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n + 1}, tracker.Result{Refused: true, Busy: 18})
		r.requestSlot(n + 2)
		r.advance(50 * time.Millisecond)
	}
	if got := r.pool.Status(r.now).Servers[0].Limit; got != 6 {
		t.Errorf("got a limit of %d, want 6: other calls filled the server", got)
	}
}

// TestUnknownWork guards against a new home that knows no work yet: it granted
// slots of slow servers and took calls with no time left to run.
func TestUnknownWork(t *testing.T) {
	r := newPoolSimulation(2, 2, 30*time.Millisecond)
	r.tickPool()
	r.pace[serverAddr(0)], r.pace[serverAddr(1)] = slowServerPace, slowServerPace
	r.requestSlot(1)
	r.advance(10 * time.Millisecond)
	if len(r.grants) != 0 {
		t.Errorf("got grants %v, want none while both servers are slow", r.grants)
	}
	r.pool.Ask(r.now, granter.Ask{
		ID: granter.ID{Owner: r, Number: 2}, Rank: parser.Normal,
		Target: r.now.Add(defaultTarget), Deadline: r.now.Add(defaultTarget / 10),
	})
	if r.refused == 0 {
		t.Error("got no refusal of a call with a tenth of its target left, want one at once")
	}
}

// TestDeadlineCutsKeepServers guards against the ejection of servers whose calls failed because
// their callers left them too little time.
func TestDeadlineCutsKeepServers(t *testing.T) {
	r := newPoolSimulation(3, 6, 30*time.Millisecond)
	r.tickPool()
	for n := range uint64(30) {
		r.pool.Ask(r.now, granter.Ask{
			ID: granter.ID{Owner: r, Number: n}, Rank: parser.Normal, Route: "cut",
			Target: r.now.Add(defaultTarget), Deadline: r.now.Add(defaultTarget / 3),
		})
		r.sentAt[n], r.callTypes[n] = r.now, callType{"cut", time.Hour, defaultTarget, defaultTimeout}
		r.advance(defaultTarget / 3)
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n}, tracker.Result{Failed: true, Busy: -1, Latency: defaultTarget / 3})
	}
	for _, s := range r.pool.Status(r.now).Servers {
		if s.State != tracker.Ready {
			t.Errorf("got server %v %v, want ready", s.Name, s.State)
		}
	}
}

// TestFastFailuresEject guards against failures of a server that pass as cut short
// because their callers have little time left.
func TestFastFailuresEject(t *testing.T) {
	r := newPoolSimulation(3, 6, 30*time.Millisecond)
	r.tickPool()
	for n := range uint64(30) {
		r.sentAt[n], r.callTypes[n] = r.now, callType{"fails", time.Hour, defaultTarget, defaultTarget / 2}
		r.requestSlot(n)
		r.advance(10 * time.Millisecond)
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n}, tracker.Result{Failed: true, Busy: -1, Latency: 10 * time.Millisecond})
		r.advance(defaultTarget)
	}
	ejected := 0
	for _, s := range r.pool.Status(r.now).Servers {
		if s.State != tracker.Ready {
			ejected++
		}
	}
	if ejected == 0 {
		t.Error("got no server ejected after 30 failures, want one")
	}
}

// TestNearlyFullSlowdown guards against a home that fills servers which slow down when nearly
// full, and against one that leaves slots of others empty: it replays a flood on
// servers of 6 slots of both sorts.
func TestNearlyFullSlowdown(t *testing.T) {
	share := make(map[float64]float64)
	for _, factor := range []float64{0, 1.7} {
		r := newPoolSimulation(5, 6, 30*time.Millisecond)
		r.nearlyFullFactor = factor
		r.tickPool()
		r.sendRequestsOf(longCalls, 2*30/longCalls.work.Seconds(), 20*time.Second)
		r.advance(22 * time.Second)
		share[factor] = float64(r.routeCounts["long"][0]) * longCalls.work.Seconds() / 20 / 30
	}
	if got, want := share[0], 0.9; got < want {
		t.Errorf("got %.3f of the slots used on time without a slowdown, want %v", got, want)
	}
	// Four of six slots can be used at the usual pace.
	if got, want := share[1.7], 0.95*4/6; got < want {
		t.Errorf("got %.3f of the slots used on time with a slowdown, want %.3f", got, want)
	}
}

// TestSheddingKeepsLimit guards against a home that lowers the limits of servers which
// shed a share of their calls although they have room: all of a service did so
// for 8 s, and its capacity stayed at a sixth for half a minute after.
func TestSheddingKeepsLimit(t *testing.T) {
	r := newPoolSimulation(4, 6, 30*time.Millisecond)
	r.tickPool()
	for n := range uint64(40) {
		r.requestSlot(n)
		r.advance(2 * time.Millisecond)
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n}, tracker.Result{Refused: true, Busy: 1})
		r.advance(defaultWork * 2)
	}
	for _, s := range r.pool.Status(r.now).Servers {
		if s.State == tracker.Ready && s.Limit != 6 {
			t.Errorf("got a limit of %d of server %v, want 6", s.Limit, s.Name)
		}
	}
}
