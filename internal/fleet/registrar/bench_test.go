package registrar_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace measures a look-up of a place among 200 instances with 20
// changes of the list in the history.
func BenchmarkPlace(b *testing.B) {
	c := newClocked()
	var all []int
	for i := range 200 {
		all = append(all, i)
	}
	for i := range 20 {
		c.read(time.Second, all[:200-i%2]...)
	}
	r := c.Believed()
	keys := make([]string, 64)
	for i := range keys {
		keys[i] = fmt.Sprint("key", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.Place(keys[i%64])
	}
}

// BenchmarkUsable measures the choice of homes among 200 instances.
func BenchmarkUsable(b *testing.B) {
	c := newClocked()
	var all []int
	for i := range 200 {
		all = append(all, i)
	}
	c.read(0, all...)
	b.ReportAllocs()
	for b.Loop() {
		c.Usable("z1", "home")
	}
}
