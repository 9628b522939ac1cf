package placer_test

import (
	"fmt"
	"slices"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/placer"
)

// TestRankNames guards against instances that place a key differently when their
// lists have the same names in another order, and against a removed name that
// moves keys of other names.
func TestRankNames(t *testing.T) {
	names := []string{"i1", "i2", "i3", "i4", "i5"}
	for k := range 100 {
		key := fmt.Sprint("key", k)
		order := placer.Order(key, names)
		reversed := slices.Clone(names)
		slices.Reverse(reversed)
		if got := placer.Order(key, reversed); !slices.Equal(got, order) {
			t.Errorf("%s: got %v, want %v", key, got, order)
		}
		if got, want := placer.First(key, names), order[0]; got != want {
			t.Errorf("%s: got first %s, want %s", key, got, want)
		}
		withoutThird := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == order[2] })
		if got, want := placer.First(key, withoutThird), order[0]; got != want {
			t.Errorf("%s: got first %s after a removal, want %s", key, got, want)
		}
	}
}
