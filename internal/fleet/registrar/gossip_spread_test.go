package registrar_test

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// simulatedFleet is a fleet of Tables in simulated time. A message arrives 10 ms
// after it was sent. Instance i0 has failed and does not answer dials.
type simulatedFleet struct {
	now       time.Time
	instances []*simulatedInstance
	sendTimes map[string][]time.Time
}

// simulatedInstance is an instance of a simulatedFleet.
type simulatedInstance struct {
	table    registrar.Table
	self     registrar.Member
	schedule registrar.HeartbeatSchedule
	seq      uint64
	nextStep time.Time
	inbox    []*messenger.Heartbeat
	suspects bool // It has suspected i0.
}

// newSimulatedFleet returns a fleet of n instances, i0 included, whose timers start
// at random offsets.
func newSimulatedFleet(n int, seed uint64) *simulatedFleet {
	r := rand.New(rand.NewPCG(seed, 0))
	f := &simulatedFleet{now: epoch, sendTimes: make(map[string][]time.Time)}
	for _, m := range newMembers(n)[1:] {
		m.Incarnation = 1
		s := &simulatedInstance{self: m, table: registrar.Table{Self: m}, nextStep: epoch.Add(randomOffset(r))}
		s.table.RecordChange = s.recordChange
		s.schedule = registrar.HeartbeatSchedule{Period: time.Second, NextDue: epoch.Add(10 * randomOffset(r))}
		s.table.ApplyList(f.now, newMembers(n))
		f.instances = append(f.instances, s)
	}
	return f
}

// randomOffset returns a random multiple of 10 ms below 100 ms.
func randomOffset(r *rand.Rand) time.Duration {
	return time.Duration(r.IntN(10)) * 10 * time.Millisecond
}

// advanceTime advances the time by 10 ms, delivers the messages and runs the
// timers.
func (f *simulatedFleet) advanceTime() {
	f.now = f.now.Add(10 * time.Millisecond)
	inboxes := make(map[string][]*messenger.Heartbeat)
	for _, s := range f.instances {
		for _, h := range s.inbox {
			s.table.HandleHeartbeat(f.now, connector.Hello{Name: h.GetName()}, h)
		}
		if !f.now.Before(s.nextStep) {
			s.nextStep = s.nextStep.Add(100 * time.Millisecond)
			f.dialOverdue(s)
		}
		if s.schedule.TakeDue(f.now, s.table.HasUnsentNews()) {
			h := s.newHeartbeat(f.now)
			f.sendTimes[s.self.Name] = append(f.sendTimes[s.self.Name], f.now)
			for _, m := range s.neighbours(f.now) {
				inboxes[m.Name] = append(inboxes[m.Name], h)
			}
		}
	}
	for _, s := range f.instances {
		s.inbox = inboxes[s.self.Name]
	}
}

func (f *simulatedFleet) dialOverdue(s *simulatedInstance) {
	for _, m := range s.table.OverdueNeighbours(f.now) {
		err := errDial
		if m.Name != "i0" {
			err = nil
		}
		s.table.HandleDialResult(f.now, m, connector.Hello{Name: m.Name, Incarnation: 1}, err)
	}
}

func (s *simulatedInstance) neighbours(now time.Time) []registrar.Member {
	alive := slices.DeleteFunc(s.table.Members(now), func(m registrar.Member) bool { return m.State != registrar.Alive })
	return registrar.Neighbours(s.self.Name, alive)
}

func (s *simulatedInstance) newHeartbeat(now time.Time) *messenger.Heartbeat {
	s.table.SetNeighbours(now, s.neighbours(now))
	s.seq++
	c := registrar.FitHeartbeat(&messenger.Heartbeat{Name: s.self.Name, Incarnation: 1, Sequence: s.seq, Gossip: s.table.TakeGossip(now)})
	if proto.Size(c) > registrar.MaxHeartbeatBytes {
		panic("oversized heartbeat")
	}
	return c.GetHeartbeat()
}

func (s *simulatedInstance) recordChange(c auditor.Change) {
	s.suspects = s.suspects || c.Subject == "instance i0" && c.After == "suspect"
}

// countSuspecting returns the number of instances that have suspected i0.
func (f *simulatedFleet) countSuspecting() (n int) {
	for _, s := range f.instances {
		if s.suspects {
			n++
		}
	}
	return n
}

// TestRingDistances guards against members that are many hops apart, and against
// the failure of one member that changes the neighbours of the whole fleet.
func TestRingDistances(t *testing.T) {
	for _, n := range []int{4, 16, 64, 200} {
		if got, want := maxDistance(n), 1+bits.Len(uint(n)); got > want {
			t.Errorf("%d members: got %d hops to the most distant member, want at most %d", n, got, want)
		}
		if got := countChangedNeighbours(n); got > registrar.MaxNeighbours {
			t.Errorf("%d members: got %d with changed neighbours after a failure, want at most %d", n, got, registrar.MaxNeighbours)
		}
	}
}

// TestGossipSpread guards against news of a failure that does not reach all
// members, and against a burst of heartbeats when there is news.
func TestGossipSpread(t *testing.T) {
	for _, n := range []int{4, 16, 64, 200} {
		f := newSimulatedFleet(n, 1)
		first := time.Time{}
		for f.countSuspecting() < n-1 {
			if f.advanceTime(); first.IsZero() && f.countSuspecting() > 0 {
				first = f.now
			}
			if f.now.Sub(epoch) > 2*time.Minute {
				t.Fatalf("%d members: got %d that suspect the failed member after 2 min, want all", n, f.countSuspecting())
			}
		}
		t.Logf("%d members: %d hops, first suspicion after %v, suspected by all %v later", n, maxDistance(n), first.Sub(epoch), f.now.Sub(first))
		for name, times := range f.sendTimes {
			for i := 2; i < len(times); i++ {
				if times[i].Sub(times[i-2]) < time.Second {
					t.Fatalf("%s: got heartbeats at %v, want at most 2 in a second", name, times)
				}
			}
		}
	}
}

// countChangedNeighbours returns the number of members whose neighbours change
// when i0 is lost.
func countChangedNeighbours(n int) (count int) {
	all := newMembers(n)
	for _, m := range all[1:] {
		if !slices.Equal(neighbours(m.Name, all), neighbours(m.Name, all[1:])) {
			count++
		}
	}
	return count
}

// maxDistance returns the number of hops from i0 to the most distant member.
func maxDistance(n int) int {
	all := newMembers(n)
	reached := map[string]bool{"i0": true}
	frontier := []string{"i0"}
	for steps := 0; ; steps++ {
		var next []string
		for _, name := range frontier {
			for _, o := range neighbours(name, all) {
				if !reached[o] {
					reached[o] = true
					next = append(next, o)
				}
			}
		}
		if frontier = next; len(frontier) == 0 {
			return steps
		}
	}
}
