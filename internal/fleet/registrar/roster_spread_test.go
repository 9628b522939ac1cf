package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

const rosterZones = 5

// rosterFleet exchanges rosters between Tables in simulated time and counts the bytes.
type rosterFleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*rosterInstance
	byAddr    map[netip.AddrPort]*rosterInstance
	bytes     int // Between all instances.
	zoneBytes int // Between instances of different zones.
	messages  int
}

type rosterInstance struct {
	table registrar.Table
	self  registrar.Member
	next  time.Time
	delay registrar.RosterDelay
	runs  bool
	peers registrar.RosterPeers
	known bool // The peers are up to date.
}

// newRosterFleet returns n instances in rosterZones zones that start within 0.3 s and
// know only the first three, the seeds.
func newRosterFleet(n int) *rosterFleet {
	f := &rosterFleet{random: rand.New(rand.NewPCG(1, 1)), now: epoch, byAddr: make(map[netip.AddrPort]*rosterInstance)}
	for i := range n {
		m := registrar.Member{
			Name: fmt.Sprintf("front-zone%d-%d", i%rosterZones, i/rosterZones+1), Zone: fmt.Sprint("zone", i%rosterZones), Region: "home",
			PeerAddr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % rosterZones), byte(i >> 8), byte(i)}), 9000),
			Incarnation: uint64(epoch.UnixNano()) + uint64(i), Capacity: 0.16,
		}
		x := &rosterInstance{self: m, next: epoch.Add(time.Duration(f.random.IntN(300)) * time.Millisecond)}
		x.table.Self = m
		x.table.RecordChange = x.recordChange
		f.instances = append(f.instances, x)
		f.byAddr[m.PeerAddr] = x
	}
	return f
}

// advance runs the exchanges of the next 10 ms.
func (f *rosterFleet) advance() {
	f.now = f.now.Add(10 * time.Millisecond)
	for _, x := range f.instances {
		if f.now.Before(x.next) {
			continue
		}
		x.runs = true
		differed := false
		for _, peer := range f.peersOf(x) {
			differed = f.exchange(x, f.byAddr[peer]) || differed
		}
		delay := x.delay.Next(differed)
		x.next = f.now.Add(delay*3/4 + time.Duration(f.random.Int64N(int64(delay/2))))
	}
}

func (f *rosterFleet) peersOf(x *rosterInstance) []netip.AddrPort {
	if x.known {
		return x.peers.Choose(x.delay.Starting(), f.random.Float64(), f.random.IntN)
	}
	x.known, x.peers = true, registrar.RosterPeers{}
	for _, s := range f.instances[:3] {
		if s != x {
			x.peers.Seeds = append(x.peers.Seeds, s.self.PeerAddr)
		}
	}
	for _, m := range x.table.Members(f.now) {
		if m.Self || m.State != registrar.Alive {
			continue
		}
		x.peers.Alive = append(x.peers.Alive, m.PeerAddr)
		if m.Zone == x.self.Zone {
			x.peers.Zone = append(x.peers.Zone, m.PeerAddr)
		}
	}
	return f.peersOf(x)
}

func (x *rosterInstance) recordChange(auditor.Change) { x.known = false }

// exchange plays one exchange that x starts with peer and reports whether the two
// knew different members.
func (f *rosterFleet) exchange(x, peer *rosterInstance) (differed bool) {
	if !peer.runs {
		return false
	}
	for next := f.count(x, peer, x.table.NewRoster(f.now)); next != nil; differed = differed || next != nil {
		reply := f.count(x, peer, peer.table.AnswerRoster(f.now, next))
		if reply == nil {
			break
		}
		next = f.count(x, peer, x.table.HandleRosterReply(f.now, reply))
	}
	return differed
}

func (f *rosterFleet) count(x, peer *rosterInstance, m *messenger.Roster) *messenger.Roster {
	if m != nil {
		f.bytes += proto.Size(m)
		f.messages++
		if x.self.Zone != peer.self.Zone {
			f.zoneBytes += proto.Size(m)
		}
	}
	return m
}

// countComplete returns the number of instances that know n alive members, up to the
// first that does not.
func (f *rosterFleet) countComplete(n int) (count int) {
	for _, x := range f.instances {
		alive := 0
		for _, m := range x.table.Members(f.now) {
			if m.State == registrar.Alive {
				alive++
			}
		}
		if alive != n {
			return count
		}
		count++
	}
	return count
}

// TestRosterSpread guards against bytes that grow with the square of the fleet: all
// instances that start together must know each other within 2 s for at most 10 MB
// between zones at 312 instances, and at most 4 KB/s for each instance once they do.
func TestRosterSpread(t *testing.T) {
	for _, n := range []int{16, 312, 1202} {
		f := newRosterFleet(n)
		for f.countComplete(n) < n {
			for range 10 {
				f.advance()
			}
			if f.now.Sub(epoch) > 2*time.Second {
				t.Fatalf("%d instances: got %d that know all after 2 s, want all", n, f.countComplete(n))
			}
		}
		t.Logf("%d instances: all known after %v, %d KB in %d messages, %d KB between zones", n, f.now.Sub(epoch), f.bytes>>10, f.messages, f.zoneBytes>>10)
		if n <= 312 && f.zoneBytes > 10<<20 {
			t.Errorf("%d instances: got %d bytes between zones at the start, want at most 10 MB", n, f.zoneBytes)
		}
		f.waitCalm()
		if got := f.bytesPerSecond(10 * time.Second); got > 4<<10 {
			t.Errorf("%d instances: got %d B/s for each in the calm state, want at most 4 KB/s", n, got)
		}
	}
}

// waitCalm runs until all instances are past the start.
func (f *rosterFleet) waitCalm() {
	for range 1000 {
		f.advance()
	}
}

// bytesPerSecond returns the bytes that each instance sends and receives for rosters.
func (f *rosterFleet) bytesPerSecond(span time.Duration) int {
	before := f.bytes
	for end := f.now.Add(span); f.now.Before(end); {
		f.advance()
	}
	return 2 * (f.bytes - before) / len(f.instances) / int(span.Seconds())
}

// TestRosterKeepsQuietMembers guards against members that are dropped because no
// exchange names them while nothing changes.
func TestRosterKeepsQuietMembers(t *testing.T) {
	f := newRosterFleet(20)
	for range 6000 { // One minute, after which an unlisted member that was not heard is dropped.
		f.advance()
		for _, x := range f.instances {
			x.table.Tick(f.now)
		}
	}
	for range 1000 {
		f.advance()
		for _, x := range f.instances {
			x.table.Tick(f.now)
		}
	}
	if got := f.countComplete(20); got != 20 {
		t.Errorf("got %d instances that know all after 70 s, want 20", got)
	}
}
