package bundler

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version orders bundles identically on every instance: by number, then by
// the sum of the content. The zero value is below every published bundle.
type Version struct {
	Number uint64
	Sum    uint64
}

// Compare returns -1, 0 or 1 when v is below, equal to or above w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Number, w.Number), cmp.Compare(v.Sum, w.Sum))
}

// String returns number and sum, for example "12/00c0ffee00c0ffee".
func (v Version) String() string { return fmt.Sprintf("%d/%016x", v.Number, v.Sum) }

// Sum returns the xxhash of the text of a bundle or section.
func Sum(text []byte) uint64 { return xxhash.Sum64(text) }
