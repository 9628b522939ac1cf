package allocator_test

import (
	"net/netip"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// sharedAddressPool is a pool of which several servers are listed at one address.
type sharedAddressPool struct {
	pool    allocator.Pool
	now     time.Time
	owner   *replyRecorder
	answers string   // Name that answers probes; empty for no answer.
	probed  []string // Names of the servers that were probed.
	asked   uint64
}

func newSharedAddressPool(answers string) *sharedAddressPool {
	p := &sharedAddressPool{now: time.Unix(1000, 0), owner: &replyRecorder{make(map[uint64]allocator.Reply)}, answers: answers}
	p.pool.Key = allocator.PoolKey{Service: "s", Zone: "a"}
	p.pool.StartProbe = func(s *tracker.Server) { p.probed = append(p.probed, s.Name) }
	return p
}

var sharedAddress = netip.MustParseAddrPort("10.0.0.1:80")

func (p *sharedAddressPool) list(servers ...router.BackendServer) {
	s := &router.Service{Service: &parser.Service{Name: "s", Slots: 2, Probe: parser.Probe{Fresh: parser.Duration(30 * time.Millisecond)}}}
	for _, b := range servers {
		b.Address, b.Zone = sharedAddress, "a"
		s.Servers = append(s.Servers, b)
	}
	p.pool.ApplyTable(p.now, &router.RoutingTable{Services: map[string]*router.Service{"s": s}})
	p.answerProbes()
}

// answerProbes answers all probes.
func (p *sharedAddressPool) answerProbes() {
	for n := 0; n < len(p.probed); n++ {
		p.now = p.now.Add(2 * time.Millisecond)
		p.pool.RecordProbe(p.now, sharedAddress, tracker.ProbeResult{
			Result: tracker.Result{Failed: p.answers == "", ReportedCalls: -1, Slowdown: 1}, ServerName: p.answers,
		})
	}
	p.probed = nil
}

// granted returns the name of the server that a request is granted, or its refusal.
func (p *sharedAddressPool) granted() string {
	p.asked++
	p.pool.RequestSlot(p.now, newRequest(p.owner, p.asked, parser.Normal, p.now.Add(time.Second)))
	p.answerProbes()
	p.pool.Tick(p.now)
	r := p.owner.replies[p.asked]
	p.pool.ReleaseSlot(p.now, allocator.ID{Owner: p.owner, Number: p.asked}, tracker.Result{ReportedCalls: -1, Latency: time.Millisecond})
	p.now = p.now.Add(100 * time.Millisecond)
	if r.Kind != allocator.ReplyOffered {
		return "none"
	}
	return r.Name
}

// TestSharedAddress guards against an entry that takes the address of another server's, by a
// later start or a state that nobody vouches for, and against an earlier entry that keeps
// the address of a server to which it has passed.
func TestSharedAddress(t *testing.T) {
	one, two := router.BackendServer{Name: "one", ProcessStart: 10}, router.BackendServer{Name: "two", ProcessStart: 20}
	draining := two
	draining.Leaving = true
	for _, c := range []struct {
		name    string
		lists   [][]router.BackendServer
		answers string
		want    string
	}{
		{"later entry of nobody", [][]router.BackendServer{{one}, {one, two}}, "one", "one"},
		{"later entry first", [][]router.BackendServer{{one, two}}, "one", "one"},
		{"draining entry of nobody", [][]router.BackendServer{{one}, {one, draining}}, "one", ""},
		{"address passed on", [][]router.BackendServer{{one}, {one, two}}, "two", "two"},
		{"address of a third", [][]router.BackendServer{{one, two}}, "three", "none"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newSharedAddressPool(c.lists[0][0].Name)
			for i, list := range c.lists {
				if i == len(c.lists)-1 {
					p.answers = c.answers
				}
				p.list(list...)
			}
			p.granted()
			if got := p.granted(); c.want != "" && got != c.want {
				t.Errorf("got a slot of %q, want %q", got, c.want)
			} else if c.want == "" && got == "none" {
				t.Error("got no slot, want one of the server that does not leave")
			}
		})
	}
}

// TestSharedAddressUnprobed guards against an earlier server that keeps the address of a later
// one, because it may not be probed or no server can be.
func TestSharedAddressUnprobed(t *testing.T) {
	one, two := router.BackendServer{Name: "one", ProcessStart: 10}, router.BackendServer{Name: "two", ProcessStart: 20}
	for name, prepare := range map[string]func(*allocator.Pool){
		"no probes": func(p *allocator.Pool) { p.StartProbe = nil },
		"none of it now": func(p *allocator.Pool) {
			p.MayProbe = func(_ time.Time, s *tracker.Server) bool { return s.Name != "one" }
		},
	} {
		p := newSharedAddressPool("two")
		prepare(&p.pool)
		p.list(one)
		p.list(one, two)
		if got := p.granted(); got != "two" {
			t.Errorf("%s: got a slot of %q, want %q", name, got, "two")
		}
	}
}

// TestSharedAddressChanges guards against an answer that is held against a server after the
// address has passed on, and against a server that stays out of use after one wrong answer.
func TestSharedAddressChanges(t *testing.T) {
	one, two := router.BackendServer{Name: "one", ProcessStart: 10}, router.BackendServer{Name: "two", ProcessStart: 20}
	p := newSharedAddressPool("one")
	p.list(one, two)
	if got := p.granted(); got != "one" {
		t.Fatalf("got a slot of %q, want %q", got, "one")
	}
	p.answers = "two"
	p.granted()
	if got := p.granted(); got != "two" {
		t.Errorf("got a slot of %q after the address passed on, want %q", got, "two")
	}
	p.answers = ""
	p.granted()
	p.now = p.now.Add(5 * time.Second)
	p.answers = "one"
	p.granted()
	if got := p.granted(); got != "one" {
		t.Errorf("got a slot of %q after a time without answers, want %q", got, "one")
	}
}
