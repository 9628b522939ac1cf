package placer_test

import (
	"fmt"
	"slices"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/placer"
)

// TestOrder guards against instances that place a key differently when their
// lists have the same names in another order, and against a removed name that
// moves keys of other names.
func TestOrder(t *testing.T) {
	names := []string{"i1", "i2", "i3", "i4", "i5"}
	for k := range 100 {
		key := fmt.Sprint("key", k)
		order := placer.Order(key, names)
		back := slices.Clone(names)
		slices.Reverse(back)
		if got := placer.Order(key, back); !slices.Equal(got, order) {
			t.Errorf("%s: got %v, want %v", key, got, order)
		}
		if got, want := placer.First(key, names), order[0]; got != want {
			t.Errorf("%s: got first %s, want %s", key, got, want)
		}
		rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == order[2] })
		if got, want := placer.First(key, rest), order[0]; got != want {
			t.Errorf("%s: got first %s after a removal, want %s", key, got, want)
		}
	}
}
