package distributor_test

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
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/distributor"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/standin/fleetrunner"
)

// testTimeout bounds each wait in a test. No test asserts a shorter time.
const testTimeout = 30 * time.Second

var errUnacceptableBundle = errors.New("bundle is refused")

// fakeBundleSink is a BundleSink that holds the bundle of the highest version.
// The first line of a text gives its version number, and each line is a section.
// A text that contains "bad" is refused.
type fakeBundleSink struct {
	mu         sync.Mutex
	version    bundler.Version
	text       []byte
	offerCount int
	lowerCount int // Offers of a version that was not higher than the one held.
}

func (f *fakeBundleSink) OfferBundle(text []byte, _ string) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offerCount++
	if bytes.Contains(text, []byte("bad")) {
		return false, errUnacceptableBundle
	}
	v := bundler.Version{Sum: xxhash.Sum64(text)}
	if _, err := fmt.Sscanf(string(text), "version %d", &v.Number); err != nil {
		return false, err
	}
	if v.Compare(f.version) <= 0 {
		f.lowerCount++
		return false, nil
	}
	f.version, f.text = v, slices.Clone(text)
	return true, nil
}

func (f *fakeBundleSink) currentBundle() (bundler.Version, [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, splitSections(f.text)
}

// splitSections returns the lines of text.
func splitSections(text []byte) [][]byte { return slices.Collect(bytes.Lines(text)) }

func sectionSums(sections [][]byte) (out []uint64) {
	for _, s := range sections {
		out = append(out, xxhash.Sum64(s))
	}
	return out
}

func missingSums(want []uint64, have [][]byte) []uint64 {
	known := sectionSums(have)
	return slices.DeleteFunc(slices.Clone(want), func(s uint64) bool { return slices.Contains(known, s) })
}

func assembleSections(want []uint64, have, received [][]byte) ([]byte, error) {
	all := slices.Concat(have, received)
	known := sectionSums(all)
	var out []byte
	for _, s := range want {
		i := slices.Index(known, s)
		if i < 0 {
			return nil, errUnacceptableBundle
		}
		out = append(out, all[i]...)
	}
	return out, nil
}

// bundleText returns a bundle with a first line and 50 services. Only the first
// line and the service with the number changed depend on the version.
func bundleText(version, changed int) []byte {
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

// instance is a Distributor with the Registrar and the Connector that it uses.
type instance struct {
	*distributor.Distributor
	*fleetrunner.Instance
	bundleSink *fakeBundleSink
}

// startInstance runs an instance without other members until the test ends.
func startInstance(t testing.TB, name string) *instance {
	t.Helper()
	sink := new(fakeBundleSink)
	co := &connector.Connector{Plain: true}
	f := &fleetrunner.Instance{Registrar: &registrar.Registrar{Name: name}, Connector: co, HeartbeatPeriod: 40 * time.Millisecond}
	x := &instance{Instance: f, bundleSink: sink}
	x.Distributor = &distributor.Distributor{
		BundleSink: sink, CurrentBundle: sink.currentBundle, Fleet: f, StreamOpener: co, Audit: &auditor.Trail{}, InitialBackoff: 10 * time.Millisecond,
		Sections: distributor.SectionFuncs{ComputeSums: sectionSums, FindMissing: missingSums, AssembleBundle: assembleSections},
	}
	f.MessageHandlers = []registrar.MessageHandler{x.Distributor}
	f.ExtraTasks = []func(context.Context) error{x.Distributor.Run}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return x
}

// startInstances runs n instances that know each other.
func startInstances(t testing.TB, n int) []*instance {
	instances := make([]*instance, n)
	for i := range instances {
		instances[i] = startInstance(t, fmt.Sprint("i", i))
	}
	shareMembers(instances, instances)
	return instances
}

// shareMembers gives readers the list of members listed.
func shareMembers(listed, readers []*instance) {
	fleetrunner.DistributeList(fleetInstances(listed), fleetInstances(readers), nil)
}

func fleetInstances(all []*instance) (out []*fleetrunner.Instance) {
	for _, x := range all {
		out = append(out, x.Instance)
	}
	return out
}

// publishBundle offers text as if it came from the platform.
func (i *instance) publishBundle(text []byte) {
	if changed, err := i.bundleSink.OfferBundle(text, "platform"); err == nil && changed {
		i.AnnounceVersion()
	}
}

func (i *instance) currentNumber() uint64 {
	v, _ := i.CurrentBundle()
	return v.Number
}

// waitUntil polls condition and fails the test if it stays false for testTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

// waitForNumber waits until all instances have the version with this number.
func waitForNumber(t testing.TB, all []*instance, number uint64) {
	t.Helper()
	waitUntil(t, fmt.Sprint("version ", number, " everywhere"), func() bool {
		return !slices.ContainsFunc(all, func(x *instance) bool { return x.currentNumber() != number })
	})
}

// TestDistributedVersion guards against a change that reaches only neighbours, against
// transfer of unchanged sections, and against a return to an older version that a
// new instance announces because its source went back to it.
func TestDistributedVersion(t *testing.T) {
	all := startInstances(t, 12)
	all[0].publishBundle(bundleText(1, 0))
	waitForNumber(t, all, 1)
	before := all[7].Distributor.Stats()
	all[3].publishBundle(bundleText(2, 0))
	waitForNumber(t, all, 2)
	if got := all[7].Distributor.Stats().SectionsReceived - before.SectionsReceived; got != 2 {
		t.Errorf("got %d sections for a change of one, want 2: the changed section and the first line", got)
	}
	rewound := startInstance(t, "i0-rewound")
	rewound.publishBundle(bundleText(1, 0))
	all = append(all, rewound)
	shareMembers(all, all)
	waitForNumber(t, all, 2)
	for _, x := range all {
		waitUntil(t, "announcement heard", x.HasRecentAnnouncement)
		if x.bundleSink.lowerCount != 0 {
			t.Errorf("%s: got %d offers of lower versions, want 0", x.Name, x.bundleSink.lowerCount)
		}
	}
}

// TestConflictingBundles guards against two bundles with the same version number
// that both stay in force, each in a part of the fleet. The bundle with the higher
// sum must win.
func TestConflictingBundles(t *testing.T) {
	all := startInstances(t, 6)
	all[0].publishBundle(bundleText(1, 1))
	all[5].publishBundle(bundleText(1, 2))
	want := max(xxhash.Sum64(bundleText(1, 1)), xxhash.Sum64(bundleText(1, 2)))
	waitUntil(t, "one sum everywhere", func() bool {
		return !slices.ContainsFunc(all, func(x *instance) bool {
			v, _ := x.CurrentBundle()
			return v.Sum != want
		})
	})
}

// TestPartitionHeal guards against a side of a network partition that keeps its
// lower version after the partition ends.
func TestPartitionHeal(t *testing.T) {
	all := make([]*instance, 8)
	for i := range all {
		all[i] = startInstance(t, fmt.Sprint("i", i))
	}
	left, right := all[:4], all[4:]
	shareMembers(left, left) // The two sides do not know each other.
	shareMembers(right, right)
	left[0].publishBundle(bundleText(3, 1))
	right[0].publishBundle(bundleText(4, 2))
	waitForNumber(t, left, 3)
	waitForNumber(t, right, 4)
	shareMembers(all, all)
	waitForNumber(t, all, 4)
}

// TestRefusedBundle guards against repeated pulls of a refused bundle.
func TestRefusedBundle(t *testing.T) {
	all := startInstances(t, 2)
	bad := append(bundleText(9, 0), "bad\n"...)
	a := all[0].bundleSink
	a.mu.Lock()
	a.version, a.text = bundler.Version{Number: 9, Sum: xxhash.Sum64(bad)}, bad
	a.mu.Unlock()
	all[0].AnnounceVersion()
	offers := func() int {
		k := all[1].bundleSink
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.offerCount
	}
	waitUntil(t, "refused offer", func() bool { return offers() > 0 })
	in := func() uint64 { return all[1].Connector.Stats().BytesByKind[connector.ControlStream].In }
	for seen, beats := in(), 0; beats < 5; beats++ { // Each heartbeat announces the version again.
		waitUntil(t, "another heartbeat", func() bool { return in() > seen })
		seen = in()
	}
	if got := offers(); got != 1 {
		t.Errorf("got %d offers, want 1", got)
	}
}

// TestSumMismatch guards against a bundle whose content does not have the
// announced sum.
func TestSumMismatch(t *testing.T) {
	all := startInstances(t, 2)
	k := all[0].bundleSink
	k.mu.Lock()
	k.version, k.text = bundler.Version{Number: 2, Sum: 7}, bundleText(2, 0)
	k.mu.Unlock()
	all[0].AnnounceVersion()
	waitUntil(t, "audited sum", func() bool {
		return slices.ContainsFunc(all[1].Distributor.Audit.Changes(), func(c auditor.Change) bool { return c.After == "dropped" })
	})
	if got := all[1].currentNumber(); got != 0 {
		t.Errorf("got version %d, want none", got)
	}
}

// TestPullFromPeers guards against a new instance that starts without the bundle of
// its peers, and against one that keeps waiting for peers that have no bundle.
func TestPullFromPeers(t *testing.T) {
	all := startInstances(t, 3)
	if got := all[0].PullFromPeers(t.Context(), testTimeout); got != 2 {
		t.Errorf("peers without a bundle: got %d answers, want 2", got)
	}
	all[1].publishBundle(bundleText(1, 0))
	fresh := startInstance(t, "fresh")
	if got := fresh.PullFromPeers(t.Context(), testTimeout); got != 0 {
		t.Errorf("without members: got %d answers, want 0", got)
	}
	waitForNumber(t, all, 1)
	shareMembers(append(all, fresh), []*instance{fresh})
	if got := fresh.PullFromPeers(t.Context(), testTimeout); got == 0 || fresh.currentNumber() != 1 {
		t.Errorf("got %d answers and version %d, want some and 1", got, fresh.currentNumber())
	}
}

// BenchmarkDistribution measures the time from a change of one of 50 services on one
// instance until all instances have it, with a resolution of 2 ms (the polling
// interval of waitUntil).
func BenchmarkDistribution(b *testing.B) {
	for _, n := range []int{4, 12, 32} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := startInstances(b, n)
			waitUntil(b, "neighbours", func() bool {
				return !slices.ContainsFunc(all, func(x *instance) bool { return len(x.Connector.Stats().Sessions) < min(n-1, 6) })
			})
			version := 0
			for b.Loop() {
				version++
				all[version%n].publishBundle(bundleText(version, version%50))
				waitForNumber(b, all, uint64(version))
			}
		})
	}
}
