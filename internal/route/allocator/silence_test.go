package allocator_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// silentPool replays calls to a pool of which some servers never answer calls, although
// they answer probes. It is the owner of all slot requests.
type silentPool struct {
	*poolSimulation
	silent         map[netip.AddrPort]bool
	queues         bool // Silent servers report the calls that they have not answered.
	overtaken      bool // A hedge ends the calls without an answer.
	lastNumber     uint64
	answered, lost int
	overfull       bool
}

const (
	silentWork    = 180 * time.Millisecond
	silentTimeout = 1200 * time.Millisecond
	hedgedTime    = 450 * time.Millisecond // Time until the hedge of a silent call answers.
)

func newSilentPool(servers, silent int) *silentPool {
	s := &silentPool{poolSimulation: newPoolSimulation(servers, 3, 20*time.Millisecond), silent: make(map[netip.AddrPort]bool)}
	for i := range silent {
		s.silent[serverAddr(i)] = true
	}
	s.schedule(0, s.tickPool)
	return s
}

// run requests slots for 100 calls per second.
func (s *silentPool) run(d time.Duration) {
	s.answered, s.lost = 0, 0
	for range int(d / (10 * time.Millisecond)) {
		s.requestSlot()
		s.advance(10 * time.Millisecond)
	}
}

func (s *silentPool) requestSlot() {
	s.lastNumber++
	s.pool.RequestSlot(s.now, allocator.SlotRequest{
		ID: allocator.ID{Owner: s, Number: s.lastNumber}, Rank: 1, Route: "r", Deadline: s.now.Add(silentTimeout), Target: s.now.Add(500 * time.Millisecond),
	})
}

func (s *silentPool) ReceiveReply(r allocator.Reply) {
	if r.Kind != allocator.ReplyOffered {
		return
	}
	id := allocator.ID{Owner: s, Number: r.Number}
	if s.silent[r.Server] {
		s.lost++
		if s.queues {
			s.grantedInFlight[r.Server]++
		}
		if s.overtaken {
			s.schedule(hedgedTime, func() {
				s.pool.ReleaseSlot(s.now, id, tracker.Result{Latency: hedgedTime, ReportedCalls: -1, Unanswered: true, Silent: true})
			})
			return
		}
		s.schedule(800*time.Millisecond, func() { s.pool.MarkSilent(s.now, id) })
		s.schedule(silentTimeout, func() {
			s.pool.ReleaseSlot(s.now, id, tracker.Result{Latency: silentTimeout, ReportedCalls: -1, Failed: true, Unanswered: true, Silent: true})
		})
		return
	}
	s.answered++
	s.grantedInFlight[r.Server]++
	s.overfull = s.overfull || s.grantedInFlight[r.Server] > 3
	s.schedule(silentWork, func() {
		s.grantedInFlight[r.Server]--
		s.pool.ReleaseSlot(s.now, id, tracker.Result{Latency: silentWork, ReportedCalls: s.grantedInFlight[r.Server], Slowdown: 1})
	})
}

// TestSilentServers guards against calls that go on being sent to servers that answer
// none, while others of the pool do, whether the calls run into their time limit or are
// overtaken by hedges; against a pool that sends nothing more when all its servers are
// silent; and against servers that stay avoided when they answer again.
func TestSilentServers(t *testing.T) {
	for _, tt := range []struct {
		name             string
		silent           int
		overtaken        bool
		minLost, maxLost int // Of 1,000 calls in the first 10 s.
	}{
		{"a tenth", 2, false, 1, 20},
		{"half", 10, false, 1, 60},
		{"all", 20, false, 100, 1000},
		{"a tenth, hedged", 2, true, 1, 20},
		{"half, hedged", 10, true, 1, 80},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := runSilentPool(tt.silent, tt.overtaken)
			// Equal servers are chosen at random, so in a few runs no silent one is.
			for tries := 1; s.lost == 0 && tries < 20; tries++ {
				s = runSilentPool(tt.silent, tt.overtaken)
			}
			t.Logf("lost %d, answered %d of 1000 calls", s.lost, s.answered)
			if s.lost < tt.minLost || s.lost > tt.maxLost || s.overfull {
				t.Errorf("got %d calls sent to silent servers, overfull %v; want %d to %d and false", s.lost, s.overfull, tt.minLost, tt.maxLost)
			}
			clear(s.silent)
			s.run(20 * time.Second)
			s.run(5 * time.Second)
			if s.answered < 490 {
				t.Errorf("all servers answer again: got %d of 500 calls answered", s.answered)
			}
		})
	}
}

// runSilentPool returns a pool of 20 servers after 10 s of calls, of which silent answer none.
func runSilentPool(silent int, overtaken bool) *silentPool {
	s := newSilentPool(20, silent)
	s.overtaken = overtaken
	s.run(10 * time.Second)
	return s
}

// TestLostCallsAreHeld guards against a server that is filled again with new calls while it
// may still run those that got no answer, and against slots that stay held after a load
// report of later shows that it does not.
func TestLostCallsAreHeld(t *testing.T) {
	s := newSilentPool(1, 1)
	s.queues = true
	s.pool.MayProbe = func(time.Time, *tracker.Server) bool { return false }
	s.run(4 * time.Second)
	if s.lost != 3 {
		t.Errorf("no load report: got %d calls at a server of 3 slots that never answers, want 3", s.lost)
	}
	s.grantedInFlight[serverAddr(0)]-- // Two of them are still there.
	s.pool.MayProbe = nil
	s.run(time.Second)
	if s.lost != 1 {
		t.Errorf("2 lost calls reported: got %d more calls, want 1", s.lost)
	}
}

// TestCallsOfLostEntryAreHeld guards against a server that gets as many calls again as it
// has slots when an entry is lost whose calls it still runs, which its last report, although
// fresh, counts as those of the entry.
func TestCallsOfLostEntryAreHeld(t *testing.T) {
	s := newSilentPool(1, 1)
	s.queues, s.pool.HoldLost = true, func() bool { return true }
	for range 3 {
		s.requestSlot()
	}
	s.advance(5 * time.Millisecond)
	s.pool.CloseSession(s.now, s)
	s.run(time.Second)
	if s.lost != 0 {
		t.Errorf("got %d more calls at a server of 3 slots that still runs 3 calls, want 0", s.lost)
	}
	clear(s.grantedInFlight) // They have ended.
	s.run(time.Second)
	if s.lost != 3 {
		t.Errorf("got %d calls at the server after its calls have ended, want 3", s.lost)
	}
}
