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

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

var (
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	errDial = errors.New("no answer")
)

// newMember returns instance i in zone z0, z1 or z2.
func newMember(i int) registrar.Member {
	return registrar.Member{
		Name: fmt.Sprintf("i%d", i), Zone: fmt.Sprint("z", i%3), Region: "home",
		PeerAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000),
	}
}

func newMembers(n int) []registrar.Member {
	out := make([]registrar.Member, n)
	for i := range out {
		out[i] = newMember(i)
	}
	return out
}

// tableHarness controls the Table of instance i0, whose neighbours are all others,
// in simulated time.
type tableHarness struct {
	table *registrar.Table
	now   time.Time
}

func newTableHarness(n int) *tableHarness {
	self := newMember(0)
	self.Incarnation = 1
	h := &tableHarness{&registrar.Table{Self: self}, epoch}
	h.table.ApplyList(h.now, newMembers(n))
	h.table.SetNeighbours(h.now, newMembers(n)[1:])
	return h
}

func (h *tableHarness) passTime(d time.Duration) { h.now = h.now.Add(d); h.table.Tick(h.now) }

// receiveHeartbeat applies a heartbeat that m sent directly.
func (h *tableHarness) receiveHeartbeat(m registrar.Member, inc, seq uint64, gossip ...*messenger.Gossip) {
	from := connector.Hello{Name: m.Name, Incarnation: inc, Zone: m.Zone, Region: m.Region, PeerAddr: m.PeerAddr}
	h.table.HandleHeartbeat(h.now, from, &messenger.Heartbeat{Name: m.Name, Incarnation: inc, Sequence: seq, Gossip: gossip})
}

// receiveSuspicion applies gossip that instance i is silent.
func (h *tableHarness) receiveSuspicion(i int, inc, seq uint64) {
	h.table.MergeGossip(h.now, &messenger.Gossip{Name: newMember(i).Name, Incarnation: inc, Sequence: seq, State: messenger.State_STATE_SILENT})
}

// failOverdueDials applies a failed dial of each member that is to be dialed.
func (h *tableHarness) failOverdueDials() {
	for _, m := range h.table.OverdueNeighbours(h.now) {
		h.table.HandleDialResult(h.now, m, connector.Hello{}, errDial)
	}
}

func (h *tableHarness) state(i int) string {
	for _, m := range h.table.Members(h.now) {
		if m.Name == newMember(i).Name {
			return m.State.String()
		}
	}
	return "absent"
}

// ruleCase is a history of events and the state that follows from it.
type ruleCase struct {
	name  string
	want  string // State of i1.
	apply func(h *tableHarness)
}

// silenceRules cover a listed member that is not heard.
var silenceRules = []ruleCase{
	{"listed, never heard", "alive", func(*tableHarness) {}},
	{"listed, silent, dial fails", "suspect", func(h *tableHarness) {
		h.passTime(4 * time.Second)
		h.failOverdueDials()
	}},
	{"listed, silent, dial works", "alive", func(h *tableHarness) {
		h.passTime(4 * time.Second)
		for _, m := range h.table.OverdueNeighbours(h.now) {
			h.table.HandleDialResult(h.now, m, connector.Hello{Name: m.Name, Incarnation: 1}, nil)
		}
	}},
	{"silent for 30 s", "gone", func(h *tableHarness) {
		h.passTime(4 * time.Second)
		h.failOverdueDials()
		h.passTime(30 * time.Second)
	}},
	{"suspected, then heard", "alive", func(h *tableHarness) {
		h.receiveHeartbeat(newMember(1), 5, 1)
		h.passTime(4 * time.Second)
		h.failOverdueDials()
		h.receiveHeartbeat(newMember(1), 5, 2)
	}},
	{"suspected, then a heartbeat from before", "suspect", func(h *tableHarness) {
		h.receiveHeartbeat(newMember(1), 5, 2)
		h.passTime(4 * time.Second)
		h.failOverdueDials()
		h.receiveHeartbeat(newMember(1), 5, 2)
	}},
	{"suspected by gossip", "suspect", func(h *tableHarness) { h.receiveHeartbeat(newMember(1), 5, 2); h.receiveSuspicion(1, 5, 2) }},
	{"suspected by older gossip", "alive", func(h *tableHarness) { h.receiveHeartbeat(newMember(1), 5, 2); h.receiveSuspicion(1, 5, 1) }},
	{"suspicion of an earlier process", "alive", func(h *tableHarness) { h.receiveHeartbeat(newMember(1), 5, 2); h.receiveSuspicion(1, 4, 9) }},
	{"suspected twice, then older gossip", "suspect", func(h *tableHarness) {
		h.receiveSuspicion(1, 5, 2)
		h.receiveSuspicion(1, 5, 7)
		h.table.MergeGossip(h.now, &messenger.Gossip{Name: "i1", Incarnation: 5, Sequence: 7, State: messenger.State_STATE_ALIVE})
	}},
	{"refuted by gossip", "alive", func(h *tableHarness) {
		h.receiveSuspicion(1, 5, 2)
		h.table.MergeGossip(h.now, &messenger.Gossip{Name: "i1", Incarnation: 5, Sequence: 3, State: messenger.State_STATE_ALIVE})
	}},
}

// changeRules cover changes of the list, shutdown and replacement by other
// processes.
var changeRules = []ruleCase{
	{"heard, not listed", "alive", func(h *tableHarness) {
		h.table.ApplyList(h.now, newMembers(1))
		h.passTime(2 * time.Minute)
		h.receiveHeartbeat(newMember(1), 5, 1)
		h.passTime(59 * time.Second)
	}},
	{"no longer heard, not listed", "absent", func(h *tableHarness) {
		h.table.ApplyList(h.now, newMembers(1))
		h.receiveHeartbeat(newMember(1), 5, 1)
		h.passTime(time.Minute)
	}},
	{"silent, then not listed", "absent", func(h *tableHarness) {
		h.passTime(4 * time.Second)
		h.failOverdueDials()
		h.table.ApplyList(h.now, newMembers(1))
	}},
	{"leaving by the list, heard", "leaving", func(h *tableHarness) {
		list := newMembers(2)
		list[1].State = registrar.Leaving
		h.table.ApplyList(h.now, list)
		h.receiveHeartbeat(newMember(1), 5, 1)
	}},
	{"leaving by its own word, listed", "leaving", func(h *tableHarness) {
		h.table.HandleHeartbeat(h.now, connector.Hello{Name: "i1"}, &messenger.Heartbeat{Name: "i1", Incarnation: 5, Sequence: 1, Leaving: true})
		h.receiveHeartbeat(newMember(1), 5, 2)
		h.table.ApplyList(h.now, newMembers(2))
	}},
	{"replaced after leaving", "alive", func(h *tableHarness) {
		h.table.HandleHeartbeat(h.now, connector.Hello{Name: "i1"}, &messenger.Heartbeat{Name: "i1", Incarnation: 5, Sequence: 9, Leaving: true})
		h.receiveHeartbeat(newMember(1), 6, 1)
	}},
	{"earlier process heard late", "alive", func(h *tableHarness) {
		h.receiveHeartbeat(newMember(1), 6, 1)
		h.table.HandleHeartbeat(h.now, connector.Hello{Name: "i1"}, &messenger.Heartbeat{Name: "i1", Incarnation: 5, Sequence: 9, Leaving: true})
	}},
	{"address taken by another", "gone", func(h *tableHarness) {
		h.receiveHeartbeat(newMember(1), 5, 1)
		two := newMember(2)
		two.PeerAddr = newMember(1).PeerAddr
		h.receiveHeartbeat(two, 6, 1)
	}},
	{"another answers the dial", "gone", func(h *tableHarness) {
		h.table.HandleDialResult(h.now, newMember(1), connector.Hello{Name: "i9"}, nil)
	}},
	{"this process paused", "alive", func(h *tableHarness) {
		h.receiveHeartbeat(newMember(1), 5, 1)
		h.now = h.now.Add(30 * time.Second)
		h.table.Resume(h.now)
		h.failOverdueDials()
	}},
	{"one path fails, others hear it", "alive", func(h *tableHarness) {
		h.passTime(4 * time.Second)
		h.failOverdueDials()
		h.table.MergeGossip(h.now, &messenger.Gossip{Name: "i1", Sequence: 3, State: messenger.State_STATE_ALIVE})
		h.passTime(4 * time.Second)
		h.failOverdueDials()
	}},
}

// TestMembershipRules guards against a wrong state of instance i1 when the list of
// the platform disagrees with what instances hear.
func TestMembershipRules(t *testing.T) {
	for _, r := range slices.Concat(silenceRules, changeRules) {
		h := newTableHarness(2)
		r.apply(h)
		if got := h.state(1); got != r.want {
			t.Errorf("%s: got %s, want %s", r.name, got, r.want)
		}
	}
}

// TestAvoidUnreachable guards against the use of a home just after a failed
// dial. Its state must not change.
func TestAvoidUnreachable(t *testing.T) {
	h := newTableHarness(2)
	h.table.AvoidPeer(h.now, newMember(1).PeerAddr)
	m := h.table.Members(h.now)[1]
	if want := h.now.Add(time.Second); !m.AvoidUntil.Equal(want) || m.State != registrar.Alive {
		t.Errorf("got avoid until %v in state %v, want %v and alive", m.AvoidUntil, m.State, want)
	}
}

// tableMachine is a rapid state machine that applies random events to a table.
type tableMachine struct {
	*tableHarness
	inc, seq map[int]uint64
	gossiped map[int]uint64 // Highest sequence number in gossip of the member.
}

const machineMembers = 5

func (m *tableMachine) drawMember(rt *rapid.T) int {
	return rapid.IntRange(1, machineMembers-1).Draw(rt, "i")
}

// checkHeartbeat applies the next heartbeat of instance i, which must make it
// alive.
func (m *tableMachine) checkHeartbeat(rt *rapid.T, i int) {
	m.seq[i] = max(m.seq[i], m.gossiped[i]) + 1
	m.receiveHeartbeat(newMember(i), m.inc[i]+1, m.seq[i])
	if got := m.state(i); got != "alive" {
		rt.Fatalf("i%d heard: got %s, want alive", i, got)
	}
}

// Heartbeat and the other exported methods except Check are the events: rapid calls
// them in random order.
func (m *tableMachine) Heartbeat(rt *rapid.T) { m.checkHeartbeat(rt, m.drawMember(rt)) }

func (m *tableMachine) Restart(rt *rapid.T) {
	i := m.drawMember(rt)
	m.inc[i], m.seq[i], m.gossiped[i] = m.inc[i]+1, 0, 0
	m.checkHeartbeat(rt, i)
}

func (m *tableMachine) StaleHeartbeat(rt *rapid.T) {
	m.receiveHeartbeat(newMember(m.drawMember(rt)), 0, 1<<40)
}

func (m *tableMachine) Gossip(rt *rapid.T) {
	i, s := m.drawMember(rt), rapid.Uint64Range(0, 20).Draw(rt, "seq")
	state := messenger.State(rapid.SampledFrom([]int32{1, 2}).Draw(rt, "state"))
	m.gossiped[i] = max(m.gossiped[i], s)
	m.table.MergeGossip(m.now, &messenger.Gossip{Name: newMember(i).Name, Incarnation: m.inc[i] + 1, Sequence: s, State: state})
}

func (m *tableMachine) PassTime(rt *rapid.T) {
	m.passTime(time.Duration(rapid.IntRange(1, 40).Draw(rt, "s")) * time.Second)
}

func (m *tableMachine) FailDials(*rapid.T) { m.failOverdueDials() }

func (m *tableMachine) ApplyList(rt *rapid.T) {
	drop := func(registrar.Member) bool { return rapid.Bool().Draw(rt, "drop") }
	m.table.ApplyList(m.now, slices.DeleteFunc(newMembers(machineMembers), drop))
}

func (m *tableMachine) Pause(*rapid.T) { m.now = m.now.Add(time.Minute); m.table.Resume(m.now) }

// Check verifies the invariants; rapid calls it after each event.
func (m *tableMachine) Check(rt *rapid.T) {
	if got := m.state(0); got != "alive" {
		rt.Fatalf("self: got %s, want alive", got)
	}
	if g := m.table.TakeGossip(m.now); len(g) > 4 {
		rt.Fatalf("got %d gossip entries, want at most 4", len(g))
	}
}

// TestRandomHistories applies random events and guards against a member that is
// suspected just after a heartbeat, a lost entry of the instance itself, too many
// gossip entries, an earlier process that replaces a later one, and a table that
// does not recover.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &tableMachine{newTableHarness(machineMembers), map[int]uint64{}, map[int]uint64{}, map[int]uint64{}}
		rt.Repeat(rapid.StateMachineActions(m))
		for i := 1; i < machineMembers; i++ {
			m.checkHeartbeat(rt, i)
		}
	})
}

// TestConvergence guards against instances that never agree that a member has
// failed, because gossip with different last sequence numbers alternates between
// suspicion and refutation.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const n = 4
		views := make([]*tableHarness, n)
		for i := range views {
			views[i] = newTableHarness(2)
			views[i].receiveHeartbeat(newMember(1), 5, rapid.Uint64Range(1, 6).Draw(rt, "last"))
		}
		draw := rapid.IntRange(0, n-1)
		for round := range 400 {
			from, to := views[draw.Draw(rt, "from")], views[draw.Draw(rt, "to")]
			if round >= 200 { // From here, each instance sends to each other.
				from, to = views[round%n], views[round/n%n]
			}
			to.passTime(500 * time.Millisecond)
			to.failOverdueDials()
			for _, g := range from.table.TakeGossip(from.now) {
				to.table.MergeGossip(to.now, g)
			}
		}
		for i, v := range views {
			if got := v.state(1); got != "suspect" && got != "gone" {
				rt.Fatalf("view %d: got %s, want suspect or gone", i, got)
			}
		}
	})
}

// TestNeighbours guards against an asymmetric relation of neighbours, too many
// neighbours, and members that cannot be reached through neighbours.
func TestNeighbours(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := newMembers(rapid.IntRange(1, 60).Draw(rt, "n"))
		regions := rapid.IntRange(1, 4).Draw(rt, "regions")
		for i := range all {
			all[i].Region = fmt.Sprint("r", rapid.IntRange(1, regions).Draw(rt, "region"))
		}
		reached := map[string]bool{}
		for unvisited := []string{all[0].Name}; len(unvisited) > 0; unvisited = unvisited[1:] {
			if !reached[unvisited[0]] {
				unvisited = append(unvisited, neighbours(unvisited[0], all)...)
			}
			reached[unvisited[0]] = true
		}
		if len(reached) != len(all) {
			rt.Fatalf("got %d members reached, want %d", len(reached), len(all))
		}
		for _, m := range all {
			checkNeighbours(rt, m.Name, all)
		}
	})
}

// neighbours returns the names of the neighbours of self.
func neighbours(self string, all []registrar.Member) (out []string) {
	for _, m := range registrar.Neighbours(self, all) {
		out = append(out, m.Name)
	}
	return out
}

// checkNeighbours verifies the number and the symmetry of the neighbours of self.
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

// TestHeartbeatSize guards against heartbeats above MaxHeartbeatBytes, and against
// trimming that removes all gossip.
func TestHeartbeatSize(t *testing.T) {
	long := make([]*messenger.Gossip, 4)
	for i := range long {
		long[i] = &messenger.Gossip{Name: fmt.Sprintf("an-instance-with-a-rather-long-name-%d", i), Incarnation: 1 << 62, Sequence: 1 << 40, State: 2}
	}
	c := registrar.FitHeartbeat(&messenger.Heartbeat{Name: "an-instance-with-a-rather-long-name-9", Incarnation: 1 << 62, Gossip: long})
	if n := proto.Size(c); n > registrar.MaxHeartbeatBytes || len(c.GetHeartbeat().GetGossip()) == 0 {
		t.Errorf("got %d bytes with %d gossip entries, want at least one entry in at most %d bytes", n, len(c.GetHeartbeat().GetGossip()), registrar.MaxHeartbeatBytes)
	}
}
