package spreader_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/fleet/spreader"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/standin/fleeter"
)

// limit is the deadline of whole tests; nothing asserts a shorter time.
const limit = 30 * time.Second

var errBundle = errors.New("bundle is refused")

// keeper holds the highest text; the first line gives its number and each line
// is a section. A text that contains "bad" is refused.
type keeper struct {
	mu      sync.Mutex
	version bundler.Version
	text    []byte
	offers  int
	lower   int // Accepted texts that were lower than the one before.
}

func (k *keeper) Offer(text []byte, _ string) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.offers++
	if bytes.Contains(text, []byte("bad")) {
		return false, errBundle
	}
	v := bundler.Version{Sum: xxhash.Sum64(text)}
	if _, err := fmt.Sscanf(string(text), "version %d", &v.Number); err != nil {
		return false, err
	}
	if v.Compare(k.version) <= 0 {
		k.lower++
		return false, nil
	}
	k.version, k.text = v, slices.Clone(text)
	return true, nil
}

func (k *keeper) current() (bundler.Version, [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version, split(k.text)
}

func split(text []byte) [][]byte { return slices.Collect(bytes.Lines(text)) }

func sums(sections [][]byte) (out []uint64) {
	for _, s := range sections {
		out = append(out, xxhash.Sum64(s))
	}
	return out
}

func missing(want []uint64, have [][]byte) []uint64 {
	known := sums(have)
	return slices.DeleteFunc(slices.Clone(want), func(s uint64) bool { return slices.Contains(known, s) })
}

func assemble(want []uint64, have, received [][]byte) ([]byte, error) {
	all := slices.Concat(have, received)
	known := sums(all)
	var out []byte
	for _, s := range want {
		i := slices.Index(known, s)
		if i < 0 {
			return nil, errBundle
		}
		out = append(out, all[i]...)
	}
	return out, nil
}

// bundle returns a text with 50 sections, of which the one numbered changed
// depends on the version.
func bundle(version, changed int) []byte {
	b := fmt.Appendf(nil, "version %d\n", version)
	for i := range 50 {
		v := 0
		if i == changed {
			v = version
		}
		b = fmt.Appendf(b, "service %d %d\n", i, v)
	}
	return b
}

type instance struct {
	*spreader.Spreader
	*fleeter.Instance
	keeper *keeper
}

// launch runs an instance until the test ends.
func launch(t testing.TB, name string) *instance {
	t.Helper()
	k := new(keeper)
	l := &linker.Linker{Plain: true}
	f := &fleeter.Instance{Registrar: &registrar.Registrar{Name: name}, Linker: l, Period: 40 * time.Millisecond}
	x := &instance{Instance: f, keeper: k}
	x.Spreader = &spreader.Spreader{
		Keeper: k, Current: k.current, Fleet: f, Links: l, Audit: &auditor.Auditor{}, Backoff: 10 * time.Millisecond,
		Sections: spreader.Sections{Sums: sums, Missing: missing, Assemble: assemble},
	}
	f.Receivers = []registrar.Receiver{x.Spreader}
	f.Also = []func(context.Context) error{x.Spreader.Run}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return x
}

func launchAll(t testing.TB, n int) []*instance {
	all := make([]*instance, n)
	for i := range all {
		all[i] = launch(t, fmt.Sprint("i", i))
	}
	share(all, all)
	return all
}

// share gives a list of some instances to others.
func share(listed, readers []*instance) { fleeter.Share(fleets(listed), fleets(readers), nil) }

func fleets(all []*instance) (out []*fleeter.Instance) {
	for _, x := range all {
		out = append(out, x.Instance)
	}
	return out
}

func (x *instance) publish(text []byte) {
	if changed, err := x.keeper.Offer(text, "platform"); err == nil && changed {
		x.Announce()
	}
}

func (x *instance) number() uint64 {
	v, _ := x.Current()
	return v.Number
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

func reach(t testing.TB, all []*instance, number uint64) {
	t.Helper()
	eventually(t, fmt.Sprint("version ", number, " everywhere"), func() bool {
		return !slices.ContainsFunc(all, func(x *instance) bool { return x.number() != number })
	})
}

// TestSpread guards against a change that does not reach an instance that is
// not a neighbour, transfer of unchanged sections, and a return to an older
// version announced by an instance whose source was rewound.
func TestSpread(t *testing.T) {
	all := launchAll(t, 12)
	all[0].publish(bundle(1, 0))
	reach(t, all, 1)
	before := all[7].Spreader.Counts()
	all[3].publish(bundle(2, 0))
	reach(t, all, 2)
	if got := all[7].Spreader.Counts().Sections - before.Sections; got != 2 {
		t.Errorf("got %d sections for a change of one, want 2 with the head", got)
	}
	rewound := launch(t, "i0-rewound")
	rewound.publish(bundle(1, 0))
	all = append(all, rewound)
	share(all, all)
	reach(t, all, 2)
	for _, x := range all {
		eventually(t, "announcement heard", x.Heard)
		if x.keeper.lower != 0 {
			t.Errorf("%s: got %d offers of lower versions, want 0", x.Name, x.keeper.lower)
		}
	}
}

// TestSameNumber guards against two bundles of one version that stay in force
// in parts of the fleet.
func TestSameNumber(t *testing.T) {
	all := launchAll(t, 6)
	all[0].publish(bundle(1, 1))
	all[5].publish(bundle(1, 2))
	want := max(xxhash.Sum64(bundle(1, 1)), xxhash.Sum64(bundle(1, 2)))
	eventually(t, "one sum everywhere", func() bool {
		return !slices.ContainsFunc(all, func(x *instance) bool {
			v, _ := x.Current()
			return v.Sum != want
		})
	})
}

// TestHeal guards against a side of a partition that keeps its version after
// the sides hear each other again.
func TestHeal(t *testing.T) {
	all := make([]*instance, 8)
	for i := range all {
		all[i] = launch(t, fmt.Sprint("i", i))
	}
	left, right := all[:4], all[4:]
	share(left, left) // Each side knows nothing of the other.
	share(right, right)
	left[0].publish(bundle(3, 1))
	right[0].publish(bundle(4, 2))
	reach(t, left, 3)
	reach(t, right, 4)
	share(all, all)
	reach(t, all, 4)
}

// TestRefused guards against a refused bundle that is pulled again and again.
func TestRefused(t *testing.T) {
	all := launchAll(t, 2)
	bad := append(bundle(9, 0), "bad\n"...)
	a := all[0].keeper
	a.mu.Lock()
	a.version, a.text = bundler.Version{Number: 9, Sum: xxhash.Sum64(bad)}, bad
	a.mu.Unlock()
	all[0].Announce()
	offers := func() int {
		k := all[1].keeper
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.offers
	}
	eventually(t, "refused offer", func() bool { return offers() > 0 })
	in := func() uint64 { return all[1].Linker.Counts().Kinds[linker.Control].In }
	for seen, beats := in(), 0; beats < 5; beats++ { // Each heartbeat announces the version again.
		eventually(t, "another heartbeat", func() bool { return in() > seen })
		seen = in()
	}
	if got := offers(); got != 1 {
		t.Errorf("got %d offers, want 1", got)
	}
}

// TestWrongSum guards against a bundle whose content is not the announced one.
func TestWrongSum(t *testing.T) {
	all := launchAll(t, 2)
	k := all[0].keeper
	k.mu.Lock()
	k.version, k.text = bundler.Version{Number: 2, Sum: 7}, bundle(2, 0)
	k.mu.Unlock()
	all[0].Announce()
	eventually(t, "audited sum", func() bool {
		return slices.ContainsFunc(all[1].Spreader.Audit.Changes(), func(c auditor.Change) bool { return c.After == "dropped" })
	})
	if got := all[1].number(); got != 0 {
		t.Errorf("got version %d, want none", got)
	}
}

// TestAskPeers guards against a new instance that starts without the bundle of
// its peers, and against one that waits for peers that have none.
func TestAskPeers(t *testing.T) {
	all := launchAll(t, 3)
	if got := all[0].AskPeers(t.Context(), limit); got != 2 {
		t.Errorf("peers without a bundle: got %d answers, want 2", got)
	}
	all[1].publish(bundle(1, 0))
	fresh := launch(t, "fresh")
	if got := fresh.AskPeers(t.Context(), limit); got != 0 {
		t.Errorf("without members: got %d answers, want 0", got)
	}
	reach(t, all, 1)
	share(append(all, fresh), []*instance{fresh})
	if got := fresh.AskPeers(t.Context(), limit); got == 0 || fresh.number() != 1 {
		t.Errorf("got %d answers and version %d, want some and 1", got, fresh.number())
	}
}

// BenchmarkSpread measures the time from a change of one of 50 sections on one
// instance until all have it, to the 2 ms of the wait.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{4, 12, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := launchAll(b, n)
			eventually(b, "neighbours", func() bool {
				return !slices.ContainsFunc(all, func(x *instance) bool { return len(x.Linker.Counts().Sessions) < min(n-1, 6) })
			})
			version := 0
			for b.Loop() {
				version++
				all[version%n].publish(bundle(version, version%50))
				reach(b, all, uint64(version))
			}
		})
	}
}
