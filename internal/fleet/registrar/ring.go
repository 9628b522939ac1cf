package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNeighbours is the largest number of neighbours of an instance.
const MaxNeighbours = 6

// Neighbours returns the members that exchange heartbeats with the one named
// self. The relation is symmetric for equal members. The members of a region
// are on up to three rings, each in order of another hash of their names;
// neighbours are the next and the previous one on each ring, so that news reaches
// all in few steps, and a lost member changes the neighbours of 6 others only.
// One neighbour is in each other region: of two first rings, place i of the
// smaller one (s members) pairs with place i*b/s of the larger one (b members),
// so some members of a larger region have no pair there.
func Neighbours(self string, members []Member) []Member {
	regions := make(map[string][]Member)
	var region string
	for _, m := range members {
		regions[m.Region] = append(regions[m.Region], m)
		if m.Name == self {
			region = m.Region
		}
	}
	own, at := ring(regions[region], self, 0)
	if at < 0 {
		return nil
	}
	var out []Member
	for name, other := range regions {
		if name == region || len(regions) > MaxNeighbours {
			continue
		}
		if i, ok := pair(at, len(own), len(other), region < name); ok {
			other, _ = ring(other, "", 0)
			out = append(out, other[i])
		}
	}
	rings := (MaxNeighbours - min(len(regions)-1, MaxNeighbours-2)) / 2
	if len(own) <= 2*rings+1 {
		out = append(out, own...)
	} else {
		for r := range rings {
			own, at = ring(own, self, uint64(r))
			out = append(out, own[(at+1)%len(own)], own[(at+len(own)-1)%len(own)])
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	out = slices.CompactFunc(out, func(a, b Member) bool { return a.Name == b.Name })
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == self })
}

// ring returns the members in the order of a ring and the place of self.
func ring(members []Member, self string, seed uint64) (sorted []Member, at int) {
	type hashed struct {
		hash   uint64
		member *Member
	}
	places := make([]hashed, len(members))
	for i := range members {
		d := xxhash.NewWithSeed(seed)
		_, _ = d.WriteString(members[i].Name)
		places[i] = hashed{d.Sum64(), &members[i]}
	}
	slices.SortFunc(places, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.Name, b.member.Name))
	})
	at = -1
	sorted = make([]Member, len(members))
	for i, p := range places {
		sorted[i] = *p.member
		if p.member.Name == self {
			at = i
		}
	}
	return sorted, at
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
