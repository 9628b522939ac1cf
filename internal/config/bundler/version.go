package bundler

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version identifies a bundle. Versions are ordered by number, then by sum, so all
// instances choose the same bundle if two were published with the same number. The
// zero value is below the version of every published bundle.
type Version struct {
	Number uint64 // Value of the key version in the text of the bundle.
	Sum    uint64 // Sum of the text of the bundle.
}

// Compare returns -1 if v is below w, 0 if they are equal and 1 if v is above w.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Number, w.Number), cmp.Compare(v.Sum, w.Sum))
}

// String returns number and hexadecimal sum, for example "12/00c0ffee00c0ffee".
func (v Version) String() string { return fmt.Sprintf("%d/%016x", v.Number, v.Sum) }

// Sum returns the 64-bit xxHash of the text of a bundle or section.
func Sum(text []byte) uint64 { return xxhash.Sum64(text) }
