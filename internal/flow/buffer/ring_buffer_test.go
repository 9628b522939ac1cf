package buffer_test

import (
	"slices"
	"testing"

	"sardinelever.example/sardinelever/internal/flow/buffer"
)

// TestRingBuffer guards against a ring buffer that returns its values in the wrong
// order or exceeds its capacity.
func TestRingBuffer(t *testing.T) {
	for _, tc := range []struct {
		name string
		puts int
		want []int
	}{
		{"empty", 0, []int{}},
		{"part", 2, []int{0, 1}},
		{"full", 3, []int{0, 1, 2}},
		{"wrapped", 7, []int{4, 5, 6}},
	} {
		r := &buffer.RingBuffer[int]{Capacity: 3}
		for i := range tc.puts {
			r.Append(i)
		}
		if got := r.Values(); !slices.Equal(got, tc.want) {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
