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
	shortCalls = shape{"short", 60 * time.Millisecond, 180 * time.Millisecond, 800 * time.Millisecond}
	longCalls  = shape{"long", 120 * time.Millisecond, 300 * time.Millisecond, 800 * time.Millisecond}
)

// TestShortCalls guards against short calls that are refused by the work of the
// long ones of their rank, or that wait behind these: it replays a flood of long
// calls beside short ones that need a quarter of the slots.
func TestShortCalls(t *testing.T) {
	r := newReplay(15, 4, 30*time.Millisecond)
	r.shuffle()
	r.tick()
	slots := 60 * (1 - noiseShare)
	r.floodOf(shortCalls, 0.25*slots/shortCalls.work.Seconds(), 10*time.Second)
	r.floodOf(longCalls, 1.25*slots/longCalls.work.Seconds(), 10*time.Second)
	r.pass(12 * time.Second)
	short, long := r.kinds["short"], r.kinds["long"]
	if got, want := float64(short[0])/float64(short[1]), 0.9; got < want {
		t.Errorf("got %.3f of the short calls on time, want %v", got, want)
	}
	if got, want := float64(long[0])*longCalls.work.Seconds()/10/slots, 0.5; got < want {
		t.Errorf("got %.3f of the slots used by long calls on time, want %v", got, want)
	}
}

// TestPatience guards against a refusal that comes so late in a flood that its
// caller cannot come back in time.
func TestPatience(t *testing.T) {
	r := newReplay(9, 2, 30*time.Millisecond)
	r.shuffle()
	r.tick()
	r.flood(2*18*(1-noiseShare)/noiseWork.Seconds(), 10*time.Second)
	r.pass(12 * time.Second)
	if r.refused == 0 {
		t.Fatal("got no refusal, want some")
	}
	if got, want := r.longest, noiseTarget/4; got > want {
		t.Errorf("got a refusal after a wait of %v, want at most a quarter of the target, %v", got, want)
	}
}

// TestForeignCalls guards against a home that fills servers with calls which run
// there already by the grants of an instance that was lost or of a second home.
func TestForeignCalls(t *testing.T) {
	r := newReplay(2, 4, 30*time.Millisecond)
	r.tick()
	r.foreign[addr(0)], r.foreign[addr(1)] = 4, 3
	for n := range uint64(4) {
		r.ask(n + 1)
	}
	r.pass(20 * time.Millisecond)
	if got, want := [2]int{r.granted[addr(0)], r.granted[addr(1)]}, [2]int{0, 1}; got != want {
		t.Errorf("got grants %v, want %v: the other slots are in use", got, want)
	}
	r.foreign[addr(0)], r.foreign[addr(1)] = 0, 0
	r.pass(100 * time.Millisecond)
	if got := r.granted[addr(0)] + r.granted[addr(1)]; got != 4 {
		t.Errorf("got %d grants after the foreign calls ended, want 4", got)
	}
}

// TestForeignRefusal guards against a home that lowers the limit of a server
// that refused because the calls of another home filled it.
func TestForeignRefusal(t *testing.T) {
	r := newReplay(1, 6, 30*time.Millisecond)
	r.tick()
	r.ask(1)
	r.pass(2 * time.Millisecond)
	for n := range uint64(5) {
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n + 1}, tracker.Result{Refused: true, Busy: 18})
		r.ask(n + 2)
		r.pass(50 * time.Millisecond)
	}
	if got := r.pool.Status(r.now).Servers[0].Limit; got != 6 {
		t.Errorf("got a limit of %d, want 6: other calls filled the server", got)
	}
}

// TestFirstCalls guards against a new home that knows no work yet: it granted
// slots of slow servers and took calls with no time left to run.
func TestFirstCalls(t *testing.T) {
	r := newReplay(2, 2, 30*time.Millisecond)
	r.tick()
	r.pace[addr(0)], r.pace[addr(1)] = noisePace, noisePace
	r.ask(1)
	r.pass(10 * time.Millisecond)
	if len(r.granted) != 0 {
		t.Errorf("got grants %v, want none while both servers are slow", r.granted)
	}
	r.pool.Ask(r.now, granter.Ask{
		ID: granter.ID{Owner: r, Number: 2}, Rank: parser.Normal,
		Target: r.now.Add(noiseTarget), Deadline: r.now.Add(noiseTarget / 10),
	})
	if r.refused == 0 {
		t.Error("got no refusal of a call with a tenth of its target left, want one at once")
	}
}

// TestHurried guards against the ejection of servers whose calls failed because
// their callers left them too little time.
func TestHurried(t *testing.T) {
	r := newReplay(3, 6, 30*time.Millisecond)
	r.tick()
	for n := range uint64(30) {
		r.pool.Ask(r.now, granter.Ask{
			ID: granter.ID{Owner: r, Number: n}, Rank: parser.Normal, Route: "cut",
			Target: r.now.Add(noiseTarget), Deadline: r.now.Add(noiseTarget / 3),
		})
		r.sent[n], r.shapes[n] = r.now, shape{"cut", time.Hour, noiseTarget, noiseLimit}
		r.pass(noiseTarget / 3)
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n}, tracker.Result{Failed: true, Busy: -1, Latency: noiseTarget / 3})
	}
	for _, s := range r.pool.Status(r.now).Servers {
		if s.State != tracker.Ready {
			t.Errorf("got server %v %v, want ready", s.Name, s.State)
		}
	}
}

// TestFailsFast guards against failures of a server that pass as cut short
// because their callers have little time left.
func TestFailsFast(t *testing.T) {
	r := newReplay(3, 6, 30*time.Millisecond)
	r.tick()
	for n := range uint64(30) {
		r.sent[n], r.shapes[n] = r.now, shape{"fails", time.Hour, noiseTarget, noiseTarget / 2}
		r.ask(n)
		r.pass(10 * time.Millisecond)
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n}, tracker.Result{Failed: true, Busy: -1, Latency: 10 * time.Millisecond})
		r.pass(noiseTarget)
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

// TestKnee guards against a home that fills servers which slow down when nearly
// full, and against one that leaves slots of others empty: it replays a flood on
// servers of 6 slots of both sorts.
func TestKnee(t *testing.T) {
	share := make(map[float64]float64)
	for _, knee := range []float64{0, 1.7} {
		r := newReplay(5, 6, 30*time.Millisecond)
		r.knee = knee
		r.tick()
		r.floodOf(longCalls, 2*30/longCalls.work.Seconds(), 20*time.Second)
		r.pass(22 * time.Second)
		share[knee] = float64(r.kinds["long"][0]) * longCalls.work.Seconds() / 20 / 30
	}
	if got, want := share[0], 0.9; got < want {
		t.Errorf("got %.3f of the slots used on time without a slowdown, want %v", got, want)
	}
	// Four of six slots can be used at the usual pace.
	if got, want := share[1.7], 0.95*4/6; got < want {
		t.Errorf("got %.3f of the slots used on time with a slowdown, want %.3f", got, want)
	}
}

// TestShedding guards against a home that lowers the limits of servers which
// shed a share of their calls although they have room: all of a service did so
// for 8 s, and its capacity stayed at a sixth for half a minute after.
func TestShedding(t *testing.T) {
	r := newReplay(4, 6, 30*time.Millisecond)
	r.tick()
	for n := range uint64(40) {
		r.ask(n)
		r.pass(2 * time.Millisecond)
		r.pool.Done(r.now, granter.ID{Owner: r, Number: n}, tracker.Result{Refused: true, Busy: 1})
		r.pass(noiseWork * 2)
	}
	for _, s := range r.pool.Status(r.now).Servers {
		if s.State == tracker.Ready && s.Limit != 6 {
			t.Errorf("got a limit of %d of server %v, want 6", s.Limit, s.Name)
		}
	}
}
