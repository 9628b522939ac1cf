package bundler

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrSection reports a section that is in the manifest of a bundle but was not received.
var ErrSection = errors.New("section is missing")

var header = []byte("[[services]]")

// Split cuts the text of a bundle into its head (version and parent) and one
// section for each service. Join of the sections is the same text again, byte by byte.
func Split(text []byte) [][]byte {
	var sections [][]byte
	start, at := 0, 0
	for line := range bytes.Lines(text) {
		if at > start && bytes.HasPrefix(bytes.TrimSpace(line), header) || at == 0 && bytes.HasPrefix(line, header) {
			sections = append(sections, text[start:at:at])
			start = at
		}
		at += len(line)
	}
	return append(sections, text[start:])
}

// Join returns the text of a bundle from its sections in order.
func Join(sections [][]byte) []byte { return bytes.Join(sections, nil) }

// Sums returns the sum of each section.
func Sums(sections [][]byte) []uint64 {
	sums := make([]uint64, len(sections))
	for i, s := range sections {
		sums[i] = Sum(s)
	}
	return sums
}

// Missing returns those of sums that no section of have has, each once.
func Missing(sums []uint64, have [][]byte) []uint64 {
	known := bySum(have)
	var out []uint64
	for _, sum := range sums {
		if _, ok := known[sum]; !ok {
			out = append(out, sum)
			known[sum] = nil
		}
	}
	return out
}

// Assemble joins the sections named by sums, which come from have and
// received in any order. It returns ErrSection when one is missing.
func Assemble(sums []uint64, have, received [][]byte) ([]byte, error) {
	known := bySum(have, received)
	sections := make([][]byte, len(sums))
	size := 0
	for i, sum := range sums {
		s, ok := known[sum]
		if !ok {
			return nil, errors.Wrapf(ErrSection, "sum %016x", sum)
		}
		// A manifest may repeat a sum, so the size is checked before the text is built.
		if size += len(s); size > MaxSize {
			return nil, &SizeError{Size: size}
		}
		sections[i] = s
	}
	return Join(sections), nil
}

func bySum(lists ...[][]byte) map[uint64][]byte {
	known := make(map[uint64][]byte)
	for _, l := range lists {
		for _, s := range l {
			known[Sum(s)] = s
		}
	}
	return known
}
