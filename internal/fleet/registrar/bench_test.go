package registrar_test

import (
	"testing"
	"time"
)

// BenchmarkPlace measures the computation of a place among 200 instances with a
// history of 20 reads, all but the first of which change the list.
func BenchmarkPlace(b *testing.B) {
	c, all := newClockedRegistrar(), firstNumbers(200)
	for i := range 20 {
		c.readList(time.Second, all[:200-i%2]...)
	}
	r := c.AcceptedList()
	b.ReportAllocs()
	for b.Loop() {
		r.Place("00000000-0000-7000-8000-000000000000")
	}
}

// BenchmarkUsableMembers measures the selection of usable members among 200 instances.
func BenchmarkUsableMembers(b *testing.B) {
	c := newClockedRegistrar()
	c.readList(0, firstNumbers(200)...)
	b.ReportAllocs()
	for b.Loop() {
		c.UsableMembers("z1", "home")
	}
}

// firstNumbers returns the numbers below n.
func firstNumbers(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}
