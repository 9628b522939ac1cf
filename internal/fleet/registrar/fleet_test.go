package registrar_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// limit is the deadline of whole tests; nothing asserts a shorter time.
const limit = 30 * time.Second

// instance is a Registrar on a Linker with real connections.
type instance struct {
	*registrar.Registrar
	linker *linker.Linker
	stop   func()
}

// launch runs an instance with short times until the test ends or stop is
// called. A zero period means the default times.
func launch(t testing.TB, name string, inc uint64, listen netip.AddrPort, period time.Duration) *instance {
	t.Helper()
	return launchOn(t, name, inc, listen, period, nil)
}

// launchOn is launch with the links behind g, if any.
func launchOn(t testing.TB, name string, inc uint64, listen netip.AddrPort, period time.Duration, g *gate) *instance {
	t.Helper()
	r := &registrar.Registrar{Name: name, Incarnation: inc, Zone: "z", Region: "home", Audit: &auditor.Auditor{}}
	if period != 0 {
		r.Period, r.Step, r.Recheck = period, period/4, 5*period
		r.Limits = registrar.Limits{Silence: 4 * period, Gone: 20 * period, Linger: 60 * period, Avoid: period}
	}
	l := &linker.Linker{
		Name: name, Incarnation: inc, Zone: "z", Region: "home", Listen: listen, Plain: true,
		Handlers: map[linker.Kind]linker.Handler{linker.Control: r}, Lost: r.Lost,
	}
	if err := l.Bind(); err != nil {
		t.Fatal(err)
	}
	r.Peer, r.Links = l.Addr(), l
	if g != nil {
		g.Links = l
		r.Links = g
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	wg.Go(func() { _ = r.Run(ctx) })
	stop := func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return &instance{r, l, stop}
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func fleet(t testing.TB, n int, period time.Duration) []*instance {
	all := make([]*instance, n)
	for i := range all {
		all[i] = launch(t, fmt.Sprint("i", i), 1, anyPort, period)
	}
	share(all, nil)
	return all
}

// share gives all instances a list of all, with other addresses for some.
func share(all []*instance, peers map[string]netip.AddrPort) {
	l := &reader.List{Time: time.Now()}
	for _, x := range all {
		e := reader.Entry{Name: x.Name, Zone: x.Zone, Region: x.Region, Peer: x.Peer}
		if p, ok := peers[x.Name]; ok {
			e.Peer = p
		}
		l.Entries = append(l.Entries, e)
	}
	for _, x := range all {
		x.SetList(l, time.Now())
	}
}

func find(x *instance, name string) registrar.Member {
	for _, m := range x.Members() {
		if m.Name == name {
			return m
		}
	}
	return registrar.Member{}
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// everywhere waits until all instances agree that a member is in a state.
func everywhere(t testing.TB, all []*instance, name string, states ...registrar.State) {
	t.Helper()
	eventually(t, fmt.Sprint(name, " in ", states), func() bool {
		return !slices.ContainsFunc(all, func(x *instance) bool {
			m := find(x, name)
			return m.Name == "" || !slices.Contains(states, m.State)
		})
	})
}

// TestKilled guards against instances that do not learn of a death, also those
// that are not neighbours, and against a replacement at the same address that
// stays suspected or keeps the state of its predecessor.
func TestKilled(t *testing.T) {
	all := fleet(t, 10, 20*time.Millisecond)
	dead, rest := all[0], all[1:]
	eventually(t, "heartbeats", func() bool { return find(all[1], "i2").Incarnation+find(all[2], "i1").Incarnation > 0 })
	dead.stop()
	everywhere(t, rest, "i0", registrar.Suspect, registrar.Gone)
	everywhere(t, rest, "i0", registrar.Gone)
	next := launch(t, "i0", 2, dead.Peer, 20*time.Millisecond)
	all[0] = next
	share(all, nil)
	everywhere(t, all, "i0", registrar.Alive)
	eventually(t, "the later process", func() bool {
		return !slices.ContainsFunc(rest, func(x *instance) bool { return find(x, "i0").Incarnation != 2 })
	})
}

// TestUnlisted guards against an instance that nobody uses while the list lags.
func TestUnlisted(t *testing.T) {
	all := fleet(t, 3, 20*time.Millisecond)
	fresh := launch(t, "i9", 1, anyPort, 20*time.Millisecond)
	l := &reader.List{Time: time.Now()}
	for _, x := range append(all, fresh) {
		l.Entries = append(l.Entries, reader.Entry{Name: x.Name, Zone: "z", Region: "home", Peer: x.Peer})
	}
	fresh.SetList(l, time.Now())
	everywhere(t, all, "i9", registrar.Alive)
	if m := find(all[0], "i9"); m.Listed || len(all[0].Usable("z", "home")) != 4 {
		t.Errorf("got %v of %v, want it usable and not listed", m, all[0].Usable("z", "home"))
	}
	fresh.Leave()
	everywhere(t, all, "i9", registrar.Leaving)
}

// TestSilentPath guards against suspicion of an instance whose connections from
// others went silent one way while new connections work.
func TestSilentPath(t *testing.T) {
	all := fleet(t, 3, 20*time.Millisecond)
	srv := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	p := toxiproxy.NewProxy(srv, "i1", "127.0.0.1:0", all[1].Peer.String())
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	share(all, map[string]netip.AddrPort{"i1": netip.MustParseAddrPort(p.Listen)})
	through := func() bool {
		return slices.ContainsFunc(all[0].linker.Counts().Sessions, func(s linker.SessionCount) bool {
			return s.Dialed && s.Peer.String() == p.Listen && s.Streams > 0
		})
	}
	eventually(t, "session through the proxy", through)
	toxic := `{"name":"silent","type":"timeout","stream":"upstream","attributes":{"timeout":0}}`
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "closed session", func() bool { return !through() })
	if err := p.Toxics.RemoveToxic(context.Background(), "silent"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "new session", through)
	for _, x := range all {
		for _, c := range x.Audit.Changes() {
			if c.After == "suspect" && c.Subject == "instance i1" {
				t.Errorf("%s: got %v, want no suspicion of an instance that is heard", x.Name, c)
			}
		}
	}
}

// BenchmarkFleet measures the traffic of each instance with the default times.
func BenchmarkFleet(b *testing.B) {
	const window = 10 * time.Second
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := make([]*instance, n)
			for i := range all {
				inc := uint64(time.Now().UnixNano())
				all[i] = launch(b, fmt.Sprintf("entry-%02d.zone-%c.home", i, 'a'+i%3), inc, anyPort, 0)
				all[i].SetVersion(&messenger.Version{Number: 20261204, Sum: inc})
			}
			share(all, nil)
			sum := func() (wire, control uint64) {
				for _, x := range all {
					c := x.linker.Counts()
					wire += c.Wire.Out
					control += c.Kinds[linker.Control].Out
				}
				return wire, control
			}
			eventually(b, "heartbeats", func() bool { _, c := sum(); return c > uint64(n)*200 })
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
