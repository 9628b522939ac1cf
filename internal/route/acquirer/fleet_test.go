package acquirer_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
)

// fleet is a set of instances that are connected by in-memory streams.
type fleet struct {
	routingTable router.TableHolder
	instances    []*instance

	mu       sync.Mutex
	down     map[string]bool     // Cannot be reached. Keys are names of instances, also of the next two maps.
	unusable map[string]bool     // No longer listed by UsableMembers.
	silent   map[string]bool     // Accepts streams and never answers.
	streams  map[net.Conn]string // Entry side of each stream, with the name of the home.
}

// instance is an instance of a fleet, both as an entry and as a home.
type instance struct {
	acquirer.Client
	fleet  *fleet
	member registrar.Member
}

var errDown = errors.New("instance is down")

// newFleet returns a fleet with n instances in each zone, and a service with servers
// backend servers of slots slots each in each zone.
func newFleet(zones []string, n, servers, slots int) *fleet {
	f := &fleet{
		down: make(map[string]bool), unusable: make(map[string]bool), silent: make(map[string]bool),
		streams: make(map[net.Conn]string),
	}
	s := &router.Service{Service: &parser.Service{Name: "guidance", Slots: slots}}
	for z, zone := range zones {
		for i := range servers {
			s.Servers = append(s.Servers, router.BackendServer{
				Name: zone + strconv.Itoa(i), Address: loopbackAddr(z, i), Zone: zone, Region: "north",
			})
		}
		for i := range n {
			in := &instance{fleet: f}
			in.member = registrar.Member{Name: zone + "-" + strconv.Itoa(i), Zone: zone, Region: "north", PeerAddr: loopbackAddr(100+z, i)}
			in.RoutingTable, in.Name, in.Zone, in.Region = &f.routingTable, in.member.Name, zone, "north"
			in.Allocator = &allocator.Allocator{RoutingTable: &f.routingTable}
			in.Fleet, in.StreamOpener = in, in
			f.instances = append(f.instances, in)
		}
	}
	f.routingTable.Store(&router.RoutingTable{Version: 1, Services: map[string]*router.Service{"guidance": s}})
	return f
}

func loopbackAddr(a, b int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(a), byte(b)}), 80)
}

func (in *instance) UsableMembers(zone, region string) []registrar.Member {
	var usable []registrar.Member
	in.fleet.mu.Lock()
	defer in.fleet.mu.Unlock()
	for _, other := range in.fleet.instances {
		if (zone == "" || other.Client.Zone == zone) && (region == "" || other.Client.Region == region) && !in.fleet.unusable[other.Name] {
			usable = append(usable, other.member)
		}
	}
	return usable
}

func (in *instance) ReportFailure(string) {}

func (in *instance) OpenStream(_ context.Context, peer netip.AddrPort, _ connector.StreamKind) (net.Conn, error) {
	f := in.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.instances {
		if other.member.PeerAddr == peer && !f.down[other.Name] {
			near, far := net.Pipe()
			f.streams[near] = other.Name
			if f.silent[other.Name] {
				go f.discardStream(far)
			} else {
				go other.Allocator.ServeStream(in.Name, far)
			}
			return near, nil
		}
	}
	return nil, errDown
}

// discardStream reads a stream until it is closed and answers nothing.
func (f *fleet) discardStream(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// breakStreams breaks all streams to home. While down is true, no new ones can be opened.
func (f *fleet) breakStreams(home string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[home] = down
	for conn, name := range f.streams {
		if name == home {
			_ = conn.Close()
			delete(f.streams, conn)
		}
	}
}

// slotsInUse returns the number of slots in use that in counts as a home.
func (in *instance) slotsInUse() int {
	n := 0
	for _, p := range in.Allocator.PoolStatuses() {
		for _, s := range p.Servers {
			n += s.InFlight
		}
	}
	return n
}

// waitForSlotsInUse waits until the homes together count want slots in use. It fails
// the test after 5 seconds.
func waitForSlotsInUse(t fatalReporter, homes []*instance, want int) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	for {
		got := 0
		for _, in := range homes {
			got += in.slotsInUse()
		}
		if got == want {
			return
		}
		select {
		case <-deadline:
			t.Fatalf("slots in use at the homes: got %d, want %d", got, want)
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// fatalReporter is implemented by testing.T and rapid.T.
type fatalReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

func acquireSlot(t *testing.T, client *acquirer.Client) *acquirer.Slot {
	t.Helper()
	s, err := client.Acquire(t.Context(), acquirer.Request{Service: "guidance", Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		t.Fatalf("got %v, want a slot", err)
	}
	return s
}
