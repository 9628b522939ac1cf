package placer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type weighted struct {
	name   string
	weight uint64
}

// Order returns names by descending weight for key; ties are in order of name.
func Order(key string, names []string) []string {
	all := make([]weighted, len(names))
	for i, n := range names {
		all[i] = weighted{n, weight(key, n)}
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].name
	}
	return out
}

// First returns the name with the highest weight for key, or "" without names.
func First(key string, names []string) string {
	var best weighted
	for _, n := range names {
		w := weight(key, n)
		if best.name == "" || w > best.weight || w == best.weight && n < best.name {
			best = weighted{n, w}
		}
	}
	return best.name
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
