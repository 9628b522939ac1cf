package registrar_test

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// virtual is a fleet of Tables in virtual time. A message arrives 10 ms after it
// was sent; instance i0 is dead and refuses dials.
type virtual struct {
	now  time.Time
	all  []*simulated
	sent map[string][]time.Time
}

type simulated struct {
	table registrar.Table
	self  registrar.Member
	beats registrar.Beats
	seq   uint64
	step  time.Time
	inbox []*messenger.Heartbeat
	knows bool // It suspects i0.
}

func newVirtual(n int, seed uint64) *virtual {
	r := rand.New(rand.NewPCG(seed, 0))
	v := &virtual{now: epoch, sent: make(map[string][]time.Time)}
	for _, m := range members(n)[1:] {
		m.Incarnation = 1
		s := &simulated{self: m, table: registrar.Table{Self: m}, step: epoch.Add(rand100(r))}
		s.table.Note = s.note
		s.beats = registrar.Beats{Period: time.Second, Next: epoch.Add(10 * rand100(r))}
		s.table.Apply(v.now, members(n))
		v.all = append(v.all, s)
	}
	return v
}

func rand100(r *rand.Rand) time.Duration { return time.Duration(r.IntN(10)) * 10 * time.Millisecond }

// advance moves the time by 10 ms.
func (v *virtual) advance() {
	v.now = v.now.Add(10 * time.Millisecond)
	boxes := make(map[string][]*messenger.Heartbeat)
	for _, s := range v.all {
		for _, h := range s.inbox {
			s.table.Hear(v.now, linker.Hello{Name: h.GetName()}, h)
		}
		if !v.now.Before(s.step) {
			s.step = s.step.Add(100 * time.Millisecond)
			v.dial(s)
		}
		if s.beats.Due(v.now, s.table.Fresh()) {
			h := s.beat(v.now)
			v.sent[s.self.Name] = append(v.sent[s.self.Name], v.now)
			for _, m := range s.neighbours(v.now) {
				boxes[m.Name] = append(boxes[m.Name], h)
			}
		}
	}
	for _, s := range v.all {
		s.inbox = boxes[s.self.Name]
	}
}

func (v *virtual) dial(s *simulated) {
	for _, m := range s.table.Due(v.now) {
		err := errDial
		if m.Name != "i0" {
			err = nil
		}
		s.table.Dialed(v.now, m, linker.Hello{Name: m.Name, Incarnation: 1}, err)
	}
}

func (s *simulated) neighbours(now time.Time) []registrar.Member {
	alive := slices.DeleteFunc(s.table.Members(now), func(m registrar.Member) bool { return m.State != registrar.Alive })
	return registrar.Neighbours(s.self.Name, alive)
}

func (s *simulated) beat(now time.Time) *messenger.Heartbeat {
	s.table.Watch(now, s.neighbours(now))
	s.seq++
	c := registrar.Fit(&messenger.Heartbeat{Name: s.self.Name, Incarnation: 1, Sequence: s.seq, Gossip: s.table.Gossip(now)})
	if proto.Size(c) > registrar.MaxHeartbeat {
		panic("oversized heartbeat")
	}
	return c.GetHeartbeat()
}

func (s *simulated) note(c auditor.Change) {
	s.knows = s.knows || c.Subject == "instance i0" && c.After == "suspect"
}

// known returns the number of instances that suspect i0.
func (v *virtual) known() (n int) {
	for _, s := range v.all {
		if s.knows {
			n++
		}
	}
	return n
}

// TestRings guards against members that are many steps apart, and against a
// death after which the whole fleet opens new streams.
func TestRings(t *testing.T) {
	for _, n := range []int{4, 16, 64, 200} {
		if got, want := farthest(n), 1+bits.Len(uint(n)); got > want {
			t.Errorf("%d members: got %d steps to the farthest member, want at most %d", n, got, want)
		}
		if got := moved(n); got > registrar.MaxNeighbours {
			t.Errorf("%d members: got %d with other neighbours after a death, want at most %d", n, got, registrar.MaxNeighbours)
		}
	}
}

// TestSpread guards against news of a death that does not reach all, and
// against a burst of heartbeats when there is news.
func TestSpread(t *testing.T) {
	for _, n := range []int{4, 16, 64, 200} {
		v := newVirtual(n, 1)
		first := time.Time{}
		for v.known() < n-1 {
			if v.advance(); first.IsZero() && v.known() > 0 {
				first = v.now
			}
			if v.now.Sub(epoch) > 2*time.Minute {
				t.Fatalf("%d members: got %d that know of the death after 2 min, want all", n, v.known())
			}
		}
		t.Logf("%d members: %d steps, first suspicion after %v, all know %v later", n, farthest(n), first.Sub(epoch), v.now.Sub(first))
		for name, times := range v.sent {
			for i := 2; i < len(times); i++ {
				if times[i].Sub(times[i-2]) < time.Second {
					t.Fatalf("%s: got heartbeats at %v, want at most 2 in a second", name, times)
				}
			}
		}
	}
}

// moved returns the number of members whose neighbours change when i0 is lost.
func moved(n int) (count int) {
	all := members(n)
	for _, m := range all[1:] {
		if !slices.Equal(neighbours(m.Name, all), neighbours(m.Name, all[1:])) {
			count++
		}
	}
	return count
}

// farthest returns the number of steps from i0 to the member farthest from it.
func farthest(n int) int {
	all := members(n)
	reached := map[string]bool{"i0": true}
	edge := []string{"i0"}
	for steps := 0; ; steps++ {
		var next []string
		for _, name := range edge {
			for _, o := range neighbours(name, all) {
				if !reached[o] {
					reached[o] = true
					next = append(next, o)
				}
			}
		}
		if edge = next; len(edge) == 0 {
			return steps
		}
	}
}
