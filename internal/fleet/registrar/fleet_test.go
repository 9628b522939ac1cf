package registrar_test

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/instance/detector"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/standin/fleetrunner"
	"sardinelever.example/sardinelever/internal/standin/injector"
)

// testTimeout is the deadline of each wait. No test asserts a shorter time.
const testTimeout = 30 * time.Second

// heartbeatPeriod is the interval of heartbeats in tests.
const heartbeatPeriod = 20 * time.Millisecond

type instance = fleetrunner.Instance

// startInstance starts an instance and stops it at the end of the test.
func startInstance(t testing.TB, x *instance) *instance {
	t.Helper()
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Stop)
	return x
}

// startFleet starts n instances, all in the same list.
func startFleet(t testing.TB, n int, period time.Duration) []*instance {
	all := make([]*instance, n)
	for i := range all {
		all[i] = startInstance(t, &instance{Registrar: &registrar.Registrar{Name: fmt.Sprint("i", i)}, HeartbeatPeriod: period})
	}
	fleetrunner.DistributeList(all, all, nil)
	return all
}

// waitUntil polls ok until it holds and fails the test after testTimeout.
func waitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met within %v", what, testTimeout)
		}
	}
}

// waitForState waits until all instances show the named member in one of states.
func waitForState(t testing.TB, all []*instance, name string, states ...registrar.State) {
	t.Helper()
	waitUntil(t, fmt.Sprint(name, " in ", states), func() bool {
		return !slices.ContainsFunc(all, func(x *instance) bool {
			m := x.FindMember(name)
			return m.Name == "" || !slices.Contains(states, m.State)
		})
	})
}

// TestKilledInstance guards against a failed instance that others, including those
// that are not its neighbours, keep showing as alive, and against a new process at
// the same address that stays suspected or keeps the state of the earlier one.
func TestKilledInstance(t *testing.T) {
	all := startFleet(t, 10, heartbeatPeriod)
	dead, rest := all[0], all[1:]
	// Wait for any heartbeat: the hashes of the names determine the neighbours.
	waitUntil(t, "heartbeats", func() bool { return !slices.ContainsFunc(all, hasHeardNoOther) })
	dead.Stop()
	waitForState(t, rest, "i0", registrar.Suspect, registrar.Gone)
	waitForState(t, rest, "i0", registrar.Gone)
	next := startInstance(t, &instance{Registrar: &registrar.Registrar{Name: "i0", Incarnation: 2}, ListenAddr: dead.PeerAddr, HeartbeatPeriod: heartbeatPeriod})
	all[0] = next
	fleetrunner.DistributeList(all, all, nil)
	waitForState(t, all, "i0", registrar.Alive)
	waitUntil(t, "the later process", func() bool {
		return !slices.ContainsFunc(rest, func(x *instance) bool { return x.FindMember("i0").Incarnation != 2 })
	})
}

// hasHeardNoOther reports whether x has heard no other instance.
func hasHeardNoOther(x *instance) bool {
	return !slices.ContainsFunc(x.Members(), func(m registrar.Member) bool { return !m.Self && m.Incarnation > 0 })
}

// TestUnlistedInstance guards against a new instance that the others do not use
// until the lagging list contains it.
func TestUnlistedInstance(t *testing.T) {
	all := startFleet(t, 3, heartbeatPeriod)
	fresh := startInstance(t, &instance{Registrar: &registrar.Registrar{Name: "i9"}, HeartbeatPeriod: heartbeatPeriod})
	fleetrunner.DistributeList(append(all, fresh), []*instance{fresh}, nil)
	waitForState(t, all, "i9", registrar.Alive)
	if m := all[0].FindMember("i9"); m.Listed || len(all[0].UsableMembers(fleetrunner.Zone, fleetrunner.Region)) != 4 {
		t.Errorf("got %v of %v, want it usable and not listed", m, all[0].UsableMembers(fleetrunner.Zone, fleetrunner.Region))
	}
	fresh.Leave()
	waitForState(t, all, "i9", registrar.Leaving)
}

// TestSilentConnection guards against the suspicion of an instance to which the
// existing connection drops all data in one direction while new connections work.
func TestSilentConnection(t *testing.T) {
	all := startFleet(t, 3, heartbeatPeriod)
	p := &injector.Proxy{Target: all[1].PeerAddr}
	addr, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	fleetrunner.DistributeList(all, all, map[string]netip.AddrPort{"i1": addr})
	through := func() bool {
		return slices.ContainsFunc(all[0].Connector.Stats().Sessions, func(s connector.SessionStats) bool {
			return s.Dialed && s.PeerAddr == addr && s.OpenStreams > 0
		})
	}
	waitUntil(t, "session through the proxy", through)
	p.DropRequests()
	waitUntil(t, "closed sessions", func() bool { return p.DroppingConns() == 0 })
	waitUntil(t, "new session", through)
	for _, x := range all {
		for _, c := range x.Audit.Changes() {
			if c.After == "suspect" && c.Subject == "instance i1" {
				t.Errorf("%s: got %v, want no suspicion of a reachable instance", x.Name, c)
			}
		}
	}
}

// TestOversizedMessage guards against an oversized control message that is
// buffered, or that breaks the other streams of the session.
func TestOversizedMessage(t *testing.T) {
	all := startFleet(t, 2, heartbeatPeriod)
	c, err := all[0].Connector.OpenStream(t.Context(), all[1].PeerAddr, connector.ControlStream)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if err := messenger.WriteMessage(c, &messenger.Control{Kind: &messenger.Control_Sections{Sections: &messenger.Sections{
		Texts: [][]byte{make([]byte, 100<<10)},
	}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end of the stream", err)
	}
	if !slices.ContainsFunc(all[1].Audit.Changes(), func(c auditor.Change) bool { return c.After == "refused" }) {
		t.Error("refused message is not in the audit trail")
	}
	in := func() uint64 { return all[1].Connector.Stats().BytesByKind[connector.ControlStream].In }
	seen := in()
	waitUntil(t, "another heartbeat", func() bool { return in() > seen })
}

// TestPausedProcess guards against a process that suspects all others after it was
// paused, and against a pause that is not detected.
func TestPausedProcess(t *testing.T) {
	others := startFleet(t, 3, heartbeatPeriod)
	var slept atomic.Int64
	gaps := make(chan time.Duration, 16)
	r := &registrar.Registrar{Name: "sleeper", Clock: func() time.Time { return time.Now().Add(time.Duration(slept.Load())) }}
	d := &detector.PauseDetector{Now: r.Clock, OnPause: func(gap time.Duration) { r.Resume(); gaps <- gap }}
	r.PauseCheck = d.CheckPause
	x := startInstance(t, &instance{HeartbeatPeriod: heartbeatPeriod, Registrar: r})
	all := append(others, x)
	fleetrunner.DistributeList(all, all, nil)
	waitUntil(t, "heartbeats", func() bool { return x.FindMember("i0").Incarnation > 0 })
	d.CheckPause() // A pause is one between two checks, and Run may not have made its first.
	slept.Store(int64(time.Hour))
	if got := <-gaps; got < time.Hour {
		t.Errorf("got a pause of %v, want at least an hour", got)
	}
	for _, o := range all {
		waitForState(t, []*instance{x}, o.Name, registrar.Alive)
	}
}

// BenchmarkHeartbeatTraffic measures the outgoing traffic per instance with the
// default timeouts.
func BenchmarkHeartbeatTraffic(b *testing.B) {
	const window = 10 * time.Second
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := make([]*instance, n)
			for i := range all {
				inc := uint64(time.Now().UnixNano())
				name := fmt.Sprintf("entry-%02d.zone-%c.home", i, 'a'+i%3)
				all[i] = startInstance(b, &instance{Registrar: &registrar.Registrar{Name: name, Incarnation: inc}})
				all[i].SetVersion(&messenger.Version{Number: 20261204, Sum: inc})
			}
			fleetrunner.DistributeList(all, all, nil)
			sum := func() (wire, control uint64) {
				for _, x := range all {
					c := x.Connector.Stats()
					wire += c.WireBytes.Out
					control += c.BytesByKind[connector.ControlStream].Out
				}
				return wire, control
			}
			waitUntil(b, "heartbeats", func() bool { _, c := sum(); return c > uint64(n)*200 })
			for b.Loop() {
				wire, control := sum()
				time.Sleep(window)
				wire2, control2 := sum()
				per := float64(n) * window.Seconds()
				b.ReportMetric(float64(wire2-wire)/per, "wire-B/s")
				b.ReportMetric(float64(control2-control)/per, "heartbeat-B/s")
			}
		})
	}
}

// BenchmarkFailureDetection measures the time from the end of a process until no
// other instance shows it as alive, with the default timeouts.
func BenchmarkFailureDetection(b *testing.B) {
	for _, n := range []int{16, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := startFleet(b, n, 0)
			waitUntil(b, "heartbeats", func() bool {
				return !slices.ContainsFunc(all, func(x *instance) bool { return len(x.Connector.Stats().Sessions) < registrar.MaxNeighbours })
			})
			for b.Loop() {
				dead := all[0]
				all = all[1:]
				dead.Stop()
				waitForState(b, all, dead.Name, registrar.Suspect, registrar.Gone)
			}
		})
	}
}

// TestSeedDiscovery guards against instances that do not find each other through
// seeds when no list names them, including an instance that starts after one of
// its seeds has failed.
func TestSeedDiscovery(t *testing.T) {
	first := startInstance(t, &instance{Registrar: &registrar.Registrar{Name: "i0"}, HeartbeatPeriod: heartbeatPeriod})
	seeds := []netip.AddrPort{first.PeerAddr}
	all := []*instance{first}
	for i := 1; i < 6; i++ {
		all = append(all, startInstance(t, &instance{Registrar: &registrar.Registrar{Name: fmt.Sprint("i", i), Seeds: seeds}, HeartbeatPeriod: heartbeatPeriod}))
	}
	for _, x := range all {
		waitForState(t, all, x.Name, registrar.Alive)
	}
	first.Stop()
	waitForState(t, all[1:], "i0", registrar.Suspect, registrar.Gone)
	late := startInstance(t, &instance{Registrar: &registrar.Registrar{Name: "late", Seeds: []netip.AddrPort{first.PeerAddr, all[1].PeerAddr}}, HeartbeatPeriod: heartbeatPeriod})
	waitForState(t, append(all[1:], late), "late", registrar.Alive)
}
