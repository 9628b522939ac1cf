package allocator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// replyRecorder is a ReplyReceiver that stores the last reply to each request.
type replyRecorder struct{ replies map[uint64]allocator.Reply }

func (rec *replyRecorder) ReceiveReply(r allocator.Reply) { rec.replies[r.Number] = r }

var startTime = time.Unix(1000, 0)

func newPool(n, slots int) *allocator.Pool {
	d := newPoolDriver(newSimulation(n, 1), parser.Service{Slots: slots})
	return d.pool
}

func newRequest(rec *replyRecorder, number uint64, r parser.Rank, deadline time.Time) allocator.SlotRequest {
	return allocator.SlotRequest{ID: allocator.ID{Owner: rec, Number: number}, Rank: r, Deadline: deadline}
}

// inFlight returns the number of calls in flight and whether a server has more
// calls than slots.
func inFlight(p *allocator.Pool, now time.Time) (n int, over bool) {
	for _, s := range p.Status(now).Servers {
		n += s.InFlight
		over = over || s.InFlight > s.Slots
	}
	return n, over
}

// TestSlotAccounting guards against a count of used slots that is wrong or
// exceeds the slots after any sequence of requests, hedges, cancellations, ended and silent calls,
// kept slots and closed sessions.
func TestSlotAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, e, now := newPool(3, 2), &replyRecorder{make(map[uint64]allocator.Reply)}, startTime
		for number := range uint64(rapid.IntRange(1, 80).Draw(t, "steps")) {
			id := allocator.ID{Owner: e, Number: rapid.Uint64Range(0, number).Draw(t, "number")}
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				p.CancelRequest(now, id)
			case 1:
				failed, refused := rapid.Bool().Draw(t, "failed"), rapid.Bool().Draw(t, "refused")
				p.ReleaseSlot(now, id, tracker.Result{ReportedCalls: -1, Latency: time.Millisecond, Failed: failed, Refused: refused})
			case 2:
				p.KeepSlot(now, id, tracker.Result{ReportedCalls: -1, Latency: time.Millisecond})
			case 3:
				p.UseKeptSlot(now, id, parser.Urgent, now.Add(time.Second))
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				p.Tick(now)
			case 5:
				p.MarkSilent(now, id)
				p.ReleaseSlot(now, id, tracker.Result{ReportedCalls: rapid.IntRange(-1, 3).Draw(t, "reported"), Latency: time.Second, Unanswered: true, Silent: true})
			default:
				req := newRequest(e, number, parser.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), now.Add(time.Second))
				req.Hedge = rapid.Bool().Draw(t, "hedge")
				p.RequestSlot(now, req)
			}
			if n, over := inFlight(p, now); over || n != p.GrantedCount() {
				t.Fatalf("got %d calls in flight, more than slots on a server: %v, want %d and false", n, over, p.GrantedCount())
			}
		}
		if rapid.Bool().Draw(t, "close") {
			p.CloseSession(now, e)
		} else {
			p.Tick(now.Add(time.Minute))
		}
		if n, _ := inFlight(p, now); n != 0 || p.QueuedCount() != 0 {
			t.Fatalf("at the end: got %d calls in flight and %d queued requests, want 0", n, p.QueuedCount())
		}
	})
}

// TestKeptSlotRecall guards against requests that wait although an entry keeps
// an unused slot.
func TestKeptSlotRecall(t *testing.T) {
	p, e := newPool(1, 1), &replyRecorder{make(map[uint64]allocator.Reply)}
	p.RequestSlot(startTime, newRequest(e, 1, parser.Urgent, startTime.Add(time.Second)))
	p.KeepSlot(startTime, allocator.ID{Owner: e, Number: 1}, tracker.Result{ReportedCalls: -1, Latency: time.Millisecond})
	p.RequestSlot(startTime, newRequest(e, 2, parser.Urgent, startTime.Add(time.Second)))
	if got := e.replies[1].Kind; got != allocator.ReplyRecalled {
		t.Fatalf("kept slot while a request waits: got %v, want recalled", got)
	}
	p.CancelRequest(startTime, allocator.ID{Owner: e, Number: 1})
	if got := e.replies[2].Kind; got != allocator.ReplyOffered {
		t.Errorf("request after the kept slot was returned: got %v, want offered", got)
	}
}

// TestRefusalReasons guards against requests that stay queued although they
// cannot be served, and against refusals with a wrong reason or without a retry
// delay.
func TestRefusalReasons(t *testing.T) {
	p, e := newPool(1, 1), &replyRecorder{make(map[uint64]allocator.Reply)}
	for i := range uint64(70) {
		p.RequestSlot(startTime, newRequest(e, i, parser.Normal, startTime.Add(time.Minute)))
	}
	p.RequestSlot(startTime, newRequest(e, 100, parser.Urgent, startTime.Add(5*time.Millisecond)))
	avoid := newRequest(e, 101, parser.Urgent, startTime.Add(time.Second))
	for _, s := range p.Status(startTime).Servers {
		avoid.Avoid = append(avoid.Avoid, s.Address)
	}
	p.RequestSlot(startTime, avoid)
	for number, want := range map[uint64]string{69: allocator.ReasonFull, 100: allocator.ReasonLate, 101: allocator.ReasonNone} {
		if got := e.replies[number]; got.Kind != allocator.ReplyRefused || got.Reason != want || got.RetryAfter <= 0 {
			t.Errorf("request %d: got %+v, want reason %s and a retry delay", number, got, want)
		}
	}
	if got := e.replies[10].Kind; got != allocator.ReplyQueued {
		t.Errorf("request 10: got %v, want queued", got)
	}
}

// TestLeavingAndDrainingServers guards against grants of slots on leaving or
// draining servers, and against losing count of the calls that still run there.
func TestLeavingAndDrainingServers(t *testing.T) {
	p, e := newPool(2, 1), &replyRecorder{make(map[uint64]allocator.Reply)}
	p.RequestSlot(startTime, newRequest(e, 1, parser.Urgent, startTime.Add(time.Second)))
	held := e.replies[1].Server
	m := &router.Service{Service: &parser.Service{Name: "guidance", Slots: 1}}
	for _, s := range p.Status(startTime).Servers {
		m.Servers = append(m.Servers, router.BackendServer{Address: s.Address, Zone: "a", Leaving: s.Address == held})
	}
	p.ApplyTable(startTime, &router.RoutingTable{Services: map[string]*router.Service{"guidance": m}})
	p.RequestSlot(startTime, newRequest(e, 2, parser.Urgent, startTime.Add(time.Second)))
	p.ReleaseSlot(startTime, allocator.ID{Owner: e, Number: 1}, tracker.Result{ReportedCalls: -1})
	p.ReleaseSlot(startTime, allocator.ID{Owner: e, Number: 2}, tracker.Result{ReportedCalls: -1, Drain: true})
	if got := e.replies[2]; got.Kind != allocator.ReplyOffered || got.Server == held {
		t.Errorf("with one server leaving: got %+v, want an offer of the other", got)
	}
	p.RequestSlot(startTime, newRequest(e, 3, parser.Urgent, startTime.Add(time.Second)))
	if got := e.replies[3]; got.Reason != allocator.ReasonNone {
		t.Errorf("with one leaving and one draining: got %+v, want reason none", got)
	}
	if n, _ := inFlight(p, startTime); n != 0 {
		t.Errorf("got %d calls in flight, want 0", n)
	}
}

// TestProcessWithAddressOfLeavingServer guards against a new process that gets no calls
// because the list still has the leaving one from which it took over the address.
func TestProcessWithAddressOfLeavingServer(t *testing.T) {
	for _, leavingFirst := range []bool{true, false} {
		p, e := newPool(1, 1), &replyRecorder{make(map[uint64]allocator.Reply)}
		address := p.Status(startTime).Servers[0].Address
		m := &router.Service{Service: &parser.Service{Name: "guidance", Slots: 1}, Servers: []router.BackendServer{
			{Name: "one", Address: address, Zone: "a", Leaving: leavingFirst}, {Name: "two", Address: address, Zone: "a", Leaving: !leavingFirst},
		}}
		p.ApplyTable(startTime, &router.RoutingTable{Services: map[string]*router.Service{"guidance": m}})
		p.RequestSlot(startTime, newRequest(e, 1, parser.Urgent, startTime.Add(time.Second)))
		if got := e.replies[1]; got.Kind != allocator.ReplyOffered {
			t.Errorf("leaving one first %v: got %+v, want an offer", leavingFirst, got)
		}
	}
}

// TestLostCallsKeepEstimate guards against requests that are refused as late
// because calls on connections that went silent held their slots until their
// deadlines and raised the estimated hold time.
func TestLostCallsKeepEstimate(t *testing.T) {
	for _, failed := range []bool{false, true} {
		p, e, now := newPool(1, 1), &replyRecorder{make(map[uint64]allocator.Reply)}, startTime
		p.RequestSlot(now, newRequest(e, 1, parser.Urgent, now.Add(time.Minute)))
		p.ReleaseSlot(now, allocator.ID{Owner: e, Number: 1}, tracker.Result{ReportedCalls: -1, Latency: time.Millisecond})
		p.RequestSlot(now, newRequest(e, 2, parser.Urgent, now.Add(time.Minute)))
		now = now.Add(10 * time.Second)
		lost := tracker.Result{ReportedCalls: -1, Latency: time.Millisecond, Failed: failed, Unanswered: true}
		if failed {
			lost.Latency = 10 * time.Second
		}
		p.ReleaseSlot(now, allocator.ID{Owner: e, Number: 2}, lost)
		now = now.Add(time.Second) // A failed call occupies its slot for less than this.
		p.RequestSlot(now, newRequest(e, 3, parser.Urgent, now.Add(time.Minute)))
		p.RequestSlot(now, newRequest(e, 4, parser.Urgent, now.Add(100*time.Millisecond)))
		if got := e.replies[4].Kind; got != allocator.ReplyQueued {
			t.Errorf("failed %v: got reply %v to the second request, want %v", failed, got, allocator.ReplyQueued)
		}
	}
}
