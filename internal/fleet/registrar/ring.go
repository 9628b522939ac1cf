package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNeighbours is the largest number of neighbours of an instance.
const MaxNeighbours = 6

// Neighbours returns the members that exchange heartbeats with the one named
// self. The relation is symmetric for equal members. Each region is a ring of
// its members in order of the hash of their names. Neighbours are the next and
// the previous ones on the ring of the own region, and one member of each other
// region: of two rings, place i of the smaller one (s members) pairs with place
// i*b/s of the larger one (b members), so some members of a larger region have
// no pair there.
func Neighbours(self string, members []Member) []Member {
	rings := make(map[string][]Member)
	var region string
	for _, m := range members {
		rings[m.Region] = append(rings[m.Region], m)
		if m.Name == self {
			region = m.Region
		}
	}
	for _, ring := range rings {
		slices.SortFunc(ring, compareHash)
	}
	own := rings[region]
	at := slices.IndexFunc(own, func(m Member) bool { return m.Name == self })
	if at < 0 {
		return nil
	}
	var out []Member
	for name, ring := range rings {
		if name == region || len(rings) > MaxNeighbours {
			continue
		}
		if i, ok := pair(at, len(own), len(ring), region < name); ok {
			out = append(out, ring[i])
		}
	}
	side := (MaxNeighbours - min(len(rings)-1, MaxNeighbours-2)) / 2
	for d := 1; d <= side; d++ {
		for _, i := range []int{at + d, at - d + len(own)*side} {
			m := own[i%len(own)]
			if m.Name != self && !slices.ContainsFunc(out, func(o Member) bool { return o.Name == m.Name }) {
				out = append(out, m)
			}
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// pair returns the place in a ring of other members that pairs with place at of
// a ring of own members. Of rings of equal size, the one with first set counts
// as the smaller.
func pair(at, own, other int, first bool) (int, bool) {
	if own < other || own == other && first {
		return at * other / own, true
	}
	i := (at*other + own - 1) / own // The only i for which i*own/other can be at.
	return i, i < other && i*own/other == at
}

func compareHash(a, b Member) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}
