package acquirer_test

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// statementFleet is a fleet in which each instance has a routing table and a Withholder of
// its own, as instances do.
type statementFleet struct {
	*fleet
	members []*statementInstance
}

type statementInstance struct {
	*instance
	table router.TableHolder
	w     withholder.Withholder
	loops sync.WaitGroup
}

func newStatementFleet(t *testing.T, zones []string, n, servers int) *statementFleet {
	f := &statementFleet{fleet: newFleet(zones, n, servers, 2)}
	for _, in := range f.instances {
		m := &statementInstance{instance: in}
		m.w.OnOwnLeaving = in.AnnounceLeaving
		in.RoutingTable, in.Withholder = &m.table, &m.w
		in.Allocator = &allocator.Allocator{RoutingTable: &m.table, Withholder: &m.w}
		m.applyList(f.routingTable.Load())
		f.members = append(f.members, m)
		m.loops.Add(1)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(func() { cancel(); m.loops.Wait() })
		go m.run(ctx, f)
	}
	return f
}

// applyList builds the routing table of the instance from that of the platform.
func (m *statementInstance) applyList(listed *router.RoutingTable) {
	s := *listed.Services["guidance"]
	s.Servers = append([]router.BackendServer(nil), s.Servers...)
	for i := range s.Servers {
		s.Servers[i].ProcessStart = 1
	}
	table := &router.RoutingTable{Version: 1, Services: map[string]*router.Service{"guidance": &s}}
	m.w.MarkLeaving(time.Now(), table)
	m.table.Store(table)
}

// run applies the statements that the instance learns.
func (m *statementInstance) run(ctx context.Context, f *statementFleet) {
	defer m.loops.Done()
	for {
		changed := m.w.Changed()
		m.applyList(f.routingTable.Load())
		m.Allocator.ApplyTable()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leaver is the backend server that leaves in these tests.
var (
	leaver     = loopbackAddr(0, 0)
	leaverLife = withholder.Lifetime{Name: "a0", ProcessStart: 1}
)

// call acquires and releases a slot. If it is one of leaver, its answer carries the statement.
func (m *statementInstance) call(t *testing.T) (server netip.AddrPort) {
	t.Helper()
	s := acquireSlot(t, &m.Client)
	if s.Server == leaver {
		m.w.RecordLeaving(time.Now(), leaverLife, withholder.FromRequest)
	}
	s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
	return s.Server
}

// callAll makes calls on all usable instances and returns how many went to leaver. It
// reports an error for one from an instance that had its statement.
func (f *statementFleet) callAll(t *testing.T, rounds int) (atLeaver int) {
	t.Helper()
	for range rounds {
		for _, m := range f.members {
			knew := m.w.IsLeaving(leaverLife)
			if m.call(t) != leaver {
				continue
			}
			if atLeaver++; knew {
				t.Errorf("%s got a slot of the leaving server after its statement", m.Name)
			}
		}
	}
	return atLeaver
}

// awaitStatement waits until the named instance knows that leaver is leaving.
func (f *statementFleet) awaitStatement(t *testing.T, name string) {
	t.Helper()
	for _, m := range f.members {
		for end := time.Now().Add(5 * time.Second); m.Name == name && !m.w.IsLeaving(leaverLife); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s does not know the statement", name)
			}
		}
	}
}

// awaitTables waits until all homes that know the statement apply it.
func (f *statementFleet) awaitTables(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		pending := 0
		for _, m := range f.members {
			if b := m.table.Load().FindServer("guidance", leaver); m.w.IsLeaving(leaverLife) && !b.Leaving {
				pending++
			}
		}
		if pending == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d instances do not apply the statement", pending)
		}
	}
}

// TestStatementReachesHomes guards against homes that grant slots of a leaving server to
// other instances, or to the one that told them, in a fleet of 32 instances: in calm,
// while homes do not answer, and after the pools have other homes.
func TestStatementReachesHomes(t *testing.T) {
	f := newStatementFleet(t, []string{"a", "b"}, 16, 4)
	f.members[0].w.RecordLeaving(time.Now(), leaverLife, withholder.FromRequest)
	f.members[0].call(t) // Opens the stream to the home.
	home := f.members[0].PoolHomes("guidance")[0].Home
	f.awaitStatement(t, home)
	f.awaitTables(t)
	if got := f.callAll(t, 5); got > 0 {
		t.Errorf("got %d calls at the leaving server after its home knew, want 0", got)
	}
	f.mu.Lock()
	f.silent[home] = true
	f.mu.Unlock()
	f.breakStreams(home, false)
	frozen := f.callAll(t, 1)
	f.mu.Lock()
	f.silent[home], f.unusable[home] = false, true
	f.mu.Unlock()
	f.breakStreams(home, false)
	changed := f.callAll(t, 3)
	t.Logf("at the leaving server: %d calls while its home was frozen, %d after the pool had moved", frozen, changed)
	if frozen+changed > len(f.members) {
		t.Errorf("got %d calls at the leaving server, want at most one of each instance", frozen+changed)
	}
}

// TestOfferCrossingStatement guards against an offered or kept slot that is used although
// the server has stated that it is leaving, and against an endless repetition of asks to
// a home that does not know it.
func TestOfferCrossingStatement(t *testing.T) {
	f := newFleet([]string{"a"}, 3, 2, 2) // The homes have no Withholder, like those of an earlier release.
	entry := f.instances[0]
	entry.Withholder = &withholder.Withholder{}
	acquireSlot(t, &entry.Client).Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond}) // Is kept, if its home allows that.
	entry.Withholder.RecordLeaving(time.Now(), withholder.Lifetime{Name: "a0"}, withholder.FromRequest)
	for range 20 {
		s := acquireSlot(t, &entry.Client)
		if s.Server == leaver {
			t.Error("got a slot of the leaving server")
		}
		s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
	}
	entry.Withholder.RecordLeaving(time.Now(), withholder.Lifetime{Name: "a1"}, withholder.FromRequest)
	var r *acquirer.Refusal
	if _, err := entry.Acquire(t.Context(), acquirer.Request{Service: "guidance"}); !errors.As(err, &r) || r.Reason != allocator.ReasonNone {
		t.Errorf("got %v, want reason none when all servers leave", err)
	}
	waitForSlotsInUse(t, f.instances, 0)
}

// TestAddressOfLeavingServerIsUsedAgain guards against a new process that gets no calls
// because the one before it at the same address, which is still listed, had left.
func TestAddressOfLeavingServerIsUsedAgain(t *testing.T) {
	f := newStatementFleet(t, []string{"a"}, 2, 1)
	m := f.members[0]
	m.w.RecordLeaving(time.Now(), leaverLife, withholder.FromRequest)
	f.awaitTables(t)
	s := *f.routingTable.Load().Services["guidance"]
	s.Servers = append(s.Servers, s.Servers[0])
	s.Servers[1].Name = "a1"
	f.routingTable.Store(&router.RoutingTable{Version: 2, Services: map[string]*router.Service{"guidance": &s}})
	for _, m := range f.members {
		m.applyList(f.routingTable.Load())
	}
	if got := acquireSlot(t, &m.Client).Server; got != leaver {
		t.Errorf("got %v, want the address that both processes have", got)
	}
}

// TestWaitEndsWhenAllLeave guards against a request that waits in the queue of a home
// until its deadline although all backend servers leave, also if the home does not know.
func TestWaitEndsWhenAllLeave(t *testing.T) {
	informed := newStatementFleet(t, []string{"a"}, 2, 2)
	checkWaitEnds(t, informed.fleet, &informed.members[0].w, 1)
	uninformed := newFleet([]string{"a"}, 2, 2, 2)
	uninformed.instances[0].Withholder = &withholder.Withholder{}
	checkWaitEnds(t, uninformed, uninformed.instances[0].Withholder, 0)
}

// waitingRequest is a request for a slot that waits.
type waitingRequest struct {
	client *acquirer.Client
	result chan error
}

func (w *waitingRequest) run(ctx context.Context) {
	_, err := w.client.Acquire(ctx, acquirer.Request{Service: "guidance", Rank: parser.Urgent, Deadline: time.Now().Add(time.Minute)})
	w.result <- err
}

// checkWaitEnds lets a request of instance 0 wait and both servers leave by statements to
// that instance. The servers have the given process start.
func checkWaitEnds(t *testing.T, f *fleet, w *withholder.Withholder, processStart uint64) {
	t.Helper()
	entry := f.instances[0]
	var slots []*acquirer.Slot
	for range 4 {
		slots = append(slots, acquireSlot(t, &entry.Client))
	}
	waiting := &waitingRequest{&entry.Client, make(chan error, 1)}
	go waiting.run(t.Context())
	time.Sleep(10 * time.Millisecond) // The request most likely waits then; the result is the same if not.
	for i := range 2 {
		w.RecordLeaving(time.Now(), withholder.Lifetime{Name: "a" + strconv.Itoa(i), ProcessStart: processStart}, withholder.FromRequest)
	}
	select {
	case err := <-waiting.result:
		var r *acquirer.Refusal
		if !errors.As(err, &r) || r.Reason != allocator.ReasonNone {
			t.Errorf("got %v, want reason none", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the request still waits")
	}
	for _, s := range slots {
		s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
	}
	waitForSlotsInUse(t, f.instances, 0)
}
