package registrar

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxNeighbours is the maximum number of neighbours of an instance.
const MaxNeighbours = 6

// Neighbours returns the members that exchange heartbeats with the member named
// self, sorted by name. Instances with the same members compute a symmetric
// relation.
//
// The members of a region form three rings, or fewer if there are several regions.
// Each ring is sorted by a differently seeded hash of the names. The neighbours
// are the successor and the predecessor on each ring, so news reaches all members
// in few hops, and the loss of a member changes the neighbours of at most 6 others.
//
// At most one neighbour is in each other region. On the first rings of two
// regions, index i of the smaller ring (s members) pairs with index i*b/s of the
// larger ring (b members), so some members of the larger region have no pair.
// With more than MaxNeighbours regions there are no such pairs.
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

// sortRing returns the members in the order of the ring with the given hash seed,
// and the index of the member named self, or -1.
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

// pairedIndex returns the index in the ring of another region that pairs with
// index in the own ring, and whether there is one. Of two rings of equal size, the
// one with ownFirst set counts as the smaller.
func pairedIndex(index, ownSize, otherSize int, ownFirst bool) (int, bool) {
	if ownSize < otherSize || ownSize == otherSize && ownFirst {
		return index * otherSize / ownSize, true
	}
	i := (index*otherSize + ownSize - 1) / ownSize // The only i for which i*ownSize/otherSize can equal index.
	return i, i < otherSize && i*ownSize/otherSize == index
}
