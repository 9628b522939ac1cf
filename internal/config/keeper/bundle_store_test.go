package keeper_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/keeper"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// formatTestBundle returns the text of a bundle with one service of the given slots.
func formatTestBundle(t testing.TB, version, parent uint64, slots int) []byte {
	t.Helper()
	text, err := bundler.BuildBundle([]parser.Service{{Name: "a", Slots: slots}}, version, parent)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// newQuietTrail returns an audit trail that discards its log.
func newQuietTrail() *auditor.Trail {
	return &auditor.Trail{Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}}
}

// auditCauses returns the causes of the audit entries of trail, one per line.
func auditCauses(trail *auditor.Trail) string {
	var out []string
	for _, c := range trail.Changes() {
		out = append(out, c.Cause)
	}
	return strings.Join(out, "\n")
}

// TestOfferInAnyOrder guards against instances that end with different bundles because
// they are offered the same bundles in different orders, and against a current bundle
// that is replaced by one of a lower version.
func TestOfferInAnyOrder(t *testing.T) {
	texts := make([][]byte, 0, 9)
	var highest bundler.Version
	for version := uint64(1); version <= 3; version++ {
		for slots := 1; slots <= 3; slots++ {
			text := formatTestBundle(t, version, version-1, slots)
			texts = append(texts, text)
			if v := (bundler.Version{Number: version, Sum: bundler.Sum(text)}); v.Compare(highest) > 0 {
				highest = v
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		store := &keeper.BundleStore{Audit: newQuietTrail()}
		order := append(rapid.Permutation(texts).Draw(t, "order"), texts...)
		var last bundler.Version
		for _, text := range order {
			changed, err := store.OfferBundle(text, "test")
			b, v := store.CurrentBundle()
			if err != nil || v.Compare(last) < 0 || changed != (v != last) || b.Version != v.Number {
				t.Fatalf("got changed %v, error %v, version %v after %v", changed, err, v, last)
			}
			last = v
		}
		if last != highest {
			t.Errorf("got %v, want %v", last, highest)
		}
	})
}

// TestRefusedBundles guards against an invalid bundle that replaces the current one,
// and against an audit entry for each repeated offer: an instance may offer the same
// bundle with each heartbeat.
func TestRefusedBundles(t *testing.T) {
	store := &keeper.BundleStore{Audit: newQuietTrail()}
	if _, err := store.OfferBundle(formatTestBundle(t, 3, 2, 1), "platform"); err != nil {
		t.Fatal(err)
	}
	_, before := store.CurrentBundle()
	large := append(formatTestBundle(t, 9, 3, 1), []byte(strings.Repeat("#\n", bundler.MaxBundleBytes/2))...)
	for _, text := range []string{"version = 4\n", "version = ", string(large), ""} {
		for range 2 {
			changed, err := store.OfferBundle([]byte(text), "peer b")
			var e *keeper.RefusedError
			if changed || !errors.As(err, &e) || e.Bundle.Source != "peer b" {
				t.Errorf("got changed %v and error %v, want a refusal", changed, err)
			}
		}
	}
	if _, got := store.CurrentBundle(); got != before {
		t.Errorf("got %v in force, want %v", got, before)
	}
	if got, want := len(store.RefusedBundles()), 4; got != want {
		t.Errorf("got %d refused bundles, want %d", got, want)
	}
	if got, want := store.RefusedBundles()[0].Version.Number, uint64(4); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	if got, want := len(store.Audit.Changes()), 5; got != want {
		t.Errorf("got %d changes, want %d", got, want)
	}
}

// TestConflictingBundles guards against missing audit entries for the loser of two
// bundles with the same version number, and for a bundle whose parent is not the
// current version, so that changes in between may be missing from it.
func TestConflictingBundles(t *testing.T) {
	low, high := formatTestBundle(t, 2, 1, 1), formatTestBundle(t, 2, 1, 2)
	if bundler.Sum(low) > bundler.Sum(high) {
		low, high = high, low
	}
	for _, tc := range []struct {
		offers [][]byte
		want   string
	}{
		{[][]byte{low, high, low}, "displaced by another bundle of its version"},
		{[][]byte{high, low, low}, "lost against another bundle of its version, offered by test"},
		{[][]byte{low, formatTestBundle(t, 4, 3, 1)}, "parent 3 is not the version in force"},
	} {
		store := &keeper.BundleStore{Audit: newQuietTrail()}
		for _, text := range tc.offers {
			if _, err := store.OfferBundle(text, "test"); err != nil {
				t.Fatal(err)
			}
		}
		if got := auditCauses(store.Audit); strings.Count(got, tc.want) != 1 {
			t.Errorf("got causes %q, want %q once", got, tc.want)
		}
	}
}

// TestSubscribeChanges guards against a change that a subscriber is not notified of,
// and against a subscriber that blocks offers by not receiving.
func TestSubscribeChanges(t *testing.T) {
	store := new(keeper.BundleStore)
	changes := store.SubscribeChanges()
	for version := uint64(1); version <= 3; version++ {
		if _, err := store.OfferBundle(formatTestBundle(t, version, version-1, 1), "test"); err != nil {
			t.Fatal(err)
		}
	}
	<-changes
	v, sections := store.CurrentSections()
	if _, text := store.CurrentText(); string(bundler.JoinSections(sections)) != string(text) || v.Number != 3 {
		t.Errorf("got version %v with sections %q, want version 3 and the sections of %q", v, sections, text)
	}
}
