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
	own, index := sortRing(regions[region], self, 0)
	if index < 0 {
		return nil
	}
	var out []Member
	for name, other := range regions {
		if name == region || len(regions) > MaxNeighbours {
			continue
		}
		if i, ok := pairedIndex(index, len(own), len(other), region < name); ok {
			other, _ = sortRing(other, "", 0)
			out = append(out, other[i])
		}
	}
	ringCount := (MaxNeighbours - min(len(regions)-1, MaxNeighbours-2)) / 2
	if len(own) <= 2*ringCount+1 {
		out = append(out, own...)
	} else {
		for seed := range ringCount {
			own, index = sortRing(own, self, uint64(seed))
			out = append(out, own[(index+1)%len(own)], own[(index+len(own)-1)%len(own)])
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	out = slices.CompactFunc(out, func(a, b Member) bool { return a.Name == b.Name })
	return slices.DeleteFunc(out, func(m Member) bool { return m.Name == self })
}

// sortRing returns the members in the order of a ring and the place of self.
func sortRing(members []Member, self string, seed uint64) (sorted []Member, index int) {
	type hashed struct {
		hash   uint64
		member *Member
	}
	hashes := make([]hashed, len(members))
	for i := range members {
		d := xxhash.NewWithSeed(seed)
		_, _ = d.WriteString(members[i].Name)
		hashes[i] = hashed{d.Sum64(), &members[i]}
	}
	slices.SortFunc(hashes, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.Name, b.member.Name))
	})
	index = -1
	sorted = make([]Member, len(members))
	for i, h := range hashes {
		sorted[i] = *h.member
		if h.member.Name == self {
			index = i
		}
	}
	return sorted, index
}

// pairedIndex returns the place in a ring of other members that pairs with place at of
// a ring of own members. Of rings of equal size, the one with first set counts
// as the smaller.
func pairedIndex(index, ownSize, otherSize int, ownFirst bool) (int, bool) {
	if ownSize < otherSize || ownSize == otherSize && ownFirst {
		return index * otherSize / ownSize, true
	}
	i := (index*otherSize + ownSize - 1) / ownSize // The only i for which i*own/other can be at.
	return i, i < otherSize && i*ownSize/otherSize == index
}
