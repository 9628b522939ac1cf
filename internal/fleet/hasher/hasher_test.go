package hasher_test

import (
	"fmt"
	"slices"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/hasher"
)

// TestRankNames guards against a ranking that depends on the order of the input,
// so that instances with the same names choose different owners for a key, and
// against the removal of a name that changes the owner of keys it did not own.
func TestRankNames(t *testing.T) {
	names := []string{"i1", "i2", "i3", "i4", "i5"}
	for k := range 100 {
		key := fmt.Sprint("key", k)
		order := hasher.RankNames(key, names)
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		if got := hasher.RankNames(key, reversed); !slices.Equal(got, order) {
			t.Errorf("%s: got %v, want %v", key, got, order)
		}
		if got, want := hasher.TopName(key, names), order[0]; got != want {
			t.Errorf("%s: got first %s, want %s", key, got, want)
		}
		withoutThird := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == order[2] })
		if got, want := hasher.TopName(key, withoutThird), order[0]; got != want {
			t.Errorf("%s: got first %s after a removal, want %s", key, got, want)
		}
	}
}
