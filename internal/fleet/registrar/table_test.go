package registrar_test

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errDial = errors.New("no answer")
)

func member(i int) registrar.Member {
	return registrar.Member{
		Name: fmt.Sprintf("i%d", i), Zone: fmt.Sprint("z", i%3), Region: "home",
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000),
	}
}

func members(n int) []registrar.Member {
	out := make([]registrar.Member, n)
	for i := range out {
		out[i] = member(i)
	}
	return out
}

// world drives one Table; it is instance i0 and its neighbours are all others.
type world struct {
	t   *registrar.Table
	now time.Time
}

func newWorld(n int) *world {
	self := member(0)
	self.Incarnation = 1
	w := &world{&registrar.Table{Self: self}, epoch}
	w.t.Apply(w.now, members(n))
	w.t.Watch(w.now, members(n)[1:])
	return w
}

func (w *world) pass(d time.Duration) { w.now = w.now.Add(d); w.t.Tick(w.now) }

func (w *world) hear(m registrar.Member, inc, seq uint64, gossip ...*messenger.Gossip) {
	from := linker.Hello{Name: m.Name, Incarnation: inc, Zone: m.Zone, Region: m.Region, Peer: m.Peer}
	w.t.Hear(w.now, from, &messenger.Heartbeat{Name: m.Name, Incarnation: inc, Sequence: seq, Gossip: gossip})
}

func (w *world) silent(i int, inc, seq uint64) {
	w.t.Merge(w.now, &messenger.Gossip{Name: member(i).Name, Incarnation: inc, Sequence: seq, State: messenger.State_STATE_SILENT})
}

// dialDue dials all members that are due, without success.
func (w *world) dialDue() {
	for _, m := range w.t.Due(w.now) {
		w.t.Dialed(w.now, m, linker.Hello{}, errDial)
	}
}

func (w *world) state(i int) string {
	for _, m := range w.t.Members(w.now) {
		if m.Name == member(i).Name {
			return m.State.String()
		}
	}
	return "absent"
}

type rule struct {
	name string
	want string // State of i1.
	do   func(w *world)
}

// silenceRules are about a listed member that is not heard.
var silenceRules = []rule{
	{"listed, never heard", "alive", func(*world) {}},
	{"listed, silent, dial fails", "suspect", func(w *world) {
		w.pass(4 * time.Second)
		w.dialDue()
	}},
	{"listed, silent, dial works", "alive", func(w *world) {
		w.pass(4 * time.Second)
		for _, m := range w.t.Due(w.now) {
			w.t.Dialed(w.now, m, linker.Hello{Name: m.Name, Incarnation: 1}, nil)
		}
	}},
	{"silent for 30 s", "gone", func(w *world) {
		w.pass(4 * time.Second)
		w.dialDue()
		w.pass(30 * time.Second)
	}},
	{"suspected, then heard", "alive", func(w *world) {
		w.hear(member(1), 5, 1)
		w.pass(4 * time.Second)
		w.dialDue()
		w.hear(member(1), 5, 2)
	}},
	{"suspected, then a heartbeat from before", "suspect", func(w *world) {
		w.hear(member(1), 5, 2)
		w.pass(4 * time.Second)
		w.dialDue()
		w.hear(member(1), 5, 2)
	}},
	{"suspected by gossip", "suspect", func(w *world) { w.hear(member(1), 5, 2); w.silent(1, 5, 2) }},
	{"suspected by older gossip", "alive", func(w *world) { w.hear(member(1), 5, 2); w.silent(1, 5, 1) }},
	{"suspicion of an earlier process", "alive", func(w *world) { w.hear(member(1), 5, 2); w.silent(1, 4, 9) }},
	{"suspected twice, then older signs of life", "suspect", func(w *world) {
		w.silent(1, 5, 2)
		w.silent(1, 5, 7)
		w.t.Merge(w.now, &messenger.Gossip{Name: "i1", Incarnation: 5, Sequence: 7, State: messenger.State_STATE_ALIVE})
	}},
	{"refuted by gossip", "alive", func(w *world) {
		w.silent(1, 5, 2)
		w.t.Merge(w.now, &messenger.Gossip{Name: "i1", Incarnation: 5, Sequence: 3, State: messenger.State_STATE_ALIVE})
	}},
}

// changeRules are about the list, leaving and other processes.
var changeRules = []rule{
	{"heard, not listed", "alive", func(w *world) {
		w.t.Apply(w.now, members(1))
		w.pass(2 * time.Minute)
		w.hear(member(1), 5, 1)
		w.pass(59 * time.Second)
	}},
	{"no longer heard, not listed", "absent", func(w *world) {
		w.t.Apply(w.now, members(1))
		w.hear(member(1), 5, 1)
		w.pass(time.Minute)
	}},
	{"silent, then not listed", "absent", func(w *world) {
		w.pass(4 * time.Second)
		w.dialDue()
		w.t.Apply(w.now, members(1))
	}},
	{"leaving by the list, heard", "leaving", func(w *world) {
		list := members(2)
		list[1].State = registrar.Leaving
		w.t.Apply(w.now, list)
		w.hear(member(1), 5, 1)
	}},
	{"leaving by its own word, listed", "leaving", func(w *world) {
		w.t.Hear(w.now, linker.Hello{Name: "i1"}, &messenger.Heartbeat{Name: "i1", Incarnation: 5, Sequence: 1, Leaving: true})
		w.hear(member(1), 5, 2)
		w.t.Apply(w.now, members(2))
	}},
	{"replaced after leaving", "alive", func(w *world) {
		w.t.Hear(w.now, linker.Hello{Name: "i1"}, &messenger.Heartbeat{Name: "i1", Incarnation: 5, Sequence: 9, Leaving: true})
		w.hear(member(1), 6, 1)
	}},
	{"earlier process heard late", "alive", func(w *world) {
		w.hear(member(1), 6, 1)
		w.t.Hear(w.now, linker.Hello{Name: "i1"}, &messenger.Heartbeat{Name: "i1", Incarnation: 5, Sequence: 9, Leaving: true})
	}},
	{"address taken by another", "gone", func(w *world) {
		w.hear(member(1), 5, 1)
		two := member(2)
		two.Peer = member(1).Peer
		w.hear(two, 6, 1)
	}},
	{"another answers the dial", "gone", func(w *world) {
		w.t.Dialed(w.now, member(1), linker.Hello{Name: "i9"}, nil)
	}},
	{"this process paused", "alive", func(w *world) {
		w.hear(member(1), 5, 1)
		w.now = w.now.Add(30 * time.Second)
		w.t.Resume(w.now)
		w.dialDue()
	}},
	{"one path fails, others hear it", "alive", func(w *world) {
		w.pass(4 * time.Second)
		w.dialDue()
		w.t.Merge(w.now, &messenger.Gossip{Name: "i1", Sequence: 3, State: messenger.State_STATE_ALIVE})
		w.pass(4 * time.Second)
		w.dialDue()
	}},
}

// TestRules guards against a wrong view of instance i1 in each disagreement
// between the platform's list and what instances hear.
func TestRules(t *testing.T) {
	for _, r := range slices.Concat(silenceRules, changeRules) {
		w := newWorld(2)
		r.do(w)
		if got := w.state(1); got != r.want {
			t.Errorf("%s: got %s, want %s", r.name, got, r.want)
		}
	}
}

// TestAvoid guards against a home that was just not reached, while its state
// stays as it is.
func TestAvoid(t *testing.T) {
	w := newWorld(2)
	w.t.Fail(w.now, member(1).Peer)
	m := w.t.Members(w.now)[1]
	if want := w.now.Add(time.Second); !m.Avoid.Equal(want) || m.State != registrar.Alive {
		t.Errorf("got avoid until %v in state %v, want %v and alive", m.Avoid, m.State, want)
	}
}

// machine applies random events to a world.
type machine struct {
	*world
	inc, seq map[int]uint64
	top      map[int]uint64 // Highest sequence that gossip told.
}

const machineSize = 5

func (m *machine) pick(rt *rapid.T) int { return rapid.IntRange(1, machineSize-1).Draw(rt, "i") }

func (m *machine) beat(rt *rapid.T, i int) {
	m.seq[i] = max(m.seq[i], m.top[i]) + 1
	m.hear(member(i), m.inc[i]+1, m.seq[i])
	if got := m.state(i); got != "alive" {
		rt.Fatalf("i%d heard: got %s, want alive", i, got)
	}
}

// Beat, Restart, Late, Gossip, Wait, Dial, List and Pause are the events.
func (m *machine) Beat(rt *rapid.T) { m.beat(rt, m.pick(rt)) }

func (m *machine) Restart(rt *rapid.T) {
	i := m.pick(rt)
	m.inc[i], m.seq[i], m.top[i] = m.inc[i]+1, 0, 0
	m.beat(rt, i)
}

func (m *machine) Late(rt *rapid.T) { m.hear(member(m.pick(rt)), 0, 1<<40) }

func (m *machine) Gossip(rt *rapid.T) {
	i, s := m.pick(rt), rapid.Uint64Range(0, 20).Draw(rt, "seq")
	state := messenger.State(rapid.SampledFrom([]int32{1, 2}).Draw(rt, "state"))
	m.top[i] = max(m.top[i], s)
	m.t.Merge(m.now, &messenger.Gossip{Name: member(i).Name, Incarnation: m.inc[i] + 1, Sequence: s, State: state})
}

func (m *machine) Wait(rt *rapid.T) {
	m.pass(time.Duration(rapid.IntRange(1, 40).Draw(rt, "s")) * time.Second)
}

func (m *machine) Dial(*rapid.T) { m.dialDue() }

func (m *machine) List(rt *rapid.T) {
	drop := func(registrar.Member) bool { return rapid.Bool().Draw(rt, "drop") }
	m.t.Apply(m.now, slices.DeleteFunc(members(machineSize), drop))
}

func (m *machine) Pause(*rapid.T) { m.now = m.now.Add(time.Minute); m.t.Resume(m.now) }

// Check runs after each event.
func (m *machine) Check(rt *rapid.T) {
	if got := m.state(0); got != "alive" {
		rt.Fatalf("self: got %s, want alive", got)
	}
	if g := m.t.Gossip(m.now); len(g) > 4 {
		rt.Fatalf("got %d pieces of gossip, want at most 4", len(g))
	}
}

// TestTable guards, over random histories, against a member that is suspected
// although it was just heard, an own entry that is lost, oversized gossip, an
// earlier process that replaces a later one, and a view that does not recover.
func TestTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{newWorld(machineSize), map[int]uint64{}, map[int]uint64{}, map[int]uint64{}}
		rt.Repeat(rapid.StateMachineActions(m))
		for i := 1; i < machineSize; i++ {
			m.beat(rt, i)
		}
	})
}

// TestConvergence guards against instances that never agree on a member that
// died: gossip with the last sequence numbers must settle at one state.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		views := make([]*world, n)
		for i := range views {
			views[i] = newWorld(2)
			views[i].hear(member(1), 5, rapid.Uint64Range(1, 6).Draw(rt, "last"))
		}
		draw := rapid.IntRange(0, n-1)
		for round := range 400 {
			from, to := views[draw.Draw(rt, "from")], views[draw.Draw(rt, "to")]
			if round >= 200 { // Then everyone talks to everyone.
				from, to = views[round%n], views[round/n%n]
			}
			to.pass(500 * time.Millisecond)
			to.dialDue()
			for _, g := range from.t.Gossip(from.now) {
				to.t.Merge(to.now, g)
			}
		}
		for i, v := range views {
			if got := v.state(1); got != "suspect" && got != "gone" {
				rt.Fatalf("view %d: got %s, want suspect or gone", i, got)
			}
		}
	})
}

// TestNeighbours guards against heartbeats that only one side expects, too many
// neighbours, and a ring that falls apart.
func TestNeighbours(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := members(rapid.IntRange(1, 60).Draw(rt, "n"))
		regions := rapid.IntRange(1, 4).Draw(rt, "regions")
		for i := range all {
			all[i].Region = fmt.Sprint("r", rapid.IntRange(1, regions).Draw(rt, "region"))
		}
		reached := map[string]bool{}
		for todo := []string{all[0].Name}; len(todo) > 0; todo = todo[1:] {
			if !reached[todo[0]] {
				todo = append(todo, neighbours(todo[0], all)...)
			}
			reached[todo[0]] = true
		}
		if len(reached) != len(all) {
			rt.Fatalf("got %d members reached, want %d", len(reached), len(all))
		}
		for _, m := range all {
			checkNeighbours(rt, m.Name, all)
		}
	})
}

func neighbours(self string, all []registrar.Member) (out []string) {
	for _, m := range registrar.Neighbours(self, all) {
		out = append(out, m.Name)
	}
	return out
}

func checkNeighbours(rt *rapid.T, self string, all []registrar.Member) {
	out := neighbours(self, all)
	if len(out) > registrar.MaxNeighbours || slices.Contains(out, self) {
		rt.Fatalf("neighbours of %s: got %v", self, out)
	}
	for _, o := range out {
		if !slices.Contains(neighbours(o, all), self) {
			rt.Fatalf("%s sends to %s, but not the other way", self, o)
		}
	}
}

// TestGossipSize guards against heartbeats above 256 bytes.
func TestGossipSize(t *testing.T) {
	long := make([]*messenger.Gossip, 4)
	for i := range long {
		long[i] = &messenger.Gossip{Name: fmt.Sprintf("an-instance-with-a-rather-long-name-%d", i), Incarnation: 1 << 62, Sequence: 1 << 40, State: 2}
	}
	c := registrar.Fit(&messenger.Heartbeat{Name: "an-instance-with-a-rather-long-name-9", Incarnation: 1 << 62, Gossip: long})
	if n := proto.Size(c); n > registrar.MaxHeartbeat || len(c.GetHeartbeat().GetGossip()) == 0 {
		t.Errorf("got %d bytes with %d pieces, want some in at most %d", n, len(c.GetHeartbeat().GetGossip()), registrar.MaxHeartbeat)
	}
}
