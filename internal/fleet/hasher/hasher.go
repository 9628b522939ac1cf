package hasher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weightedName is a name with its hash weight for one key.
type weightedName struct {
	name   string
	weight uint64
}

// RankNames returns the names sorted by descending weight for key. Names of equal
// weight are sorted alphabetically.
func RankNames(key string, names []string) []string {
	weightedNames := make([]weightedName, len(names))
	for i, n := range names {
		weightedNames[i] = weightedName{n, weight(key, n)}
	}
	slices.SortFunc(weightedNames, func(a, b weightedName) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(weightedNames))
	for i := range weightedNames {
		ranked[i] = weightedNames[i].name
	}
	return ranked
}

// TopName returns the name with the highest weight for key, which is the first
// element of RankNames. It returns "" when names is empty.
func TopName(key string, names []string) string {
	var best weightedName
	for _, n := range names {
		w := weight(key, n)
		if best.name == "" || w > best.weight || w == best.weight && n < best.name {
			best = weightedName{n, w}
		}
	}
	return best.name
}

// weight returns the hash of name and key, separated by a zero byte so that
// different pairs never hash the same bytes.
func weight(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(name)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
