package bundler

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrSection reports a section that is in the manifest of a bundle but was not received.
var ErrSection = errors.New("section is missing")

var serviceHeader = []byte("[[services]]")

// Split cuts the text of a bundle into its head (version and parent) and one
// section for each service. Join of the sections is the same text again, byte by byte.
func Split(text []byte) [][]byte {
	var sections [][]byte
	start, offset := 0, 0
	for line := range bytes.Lines(text) {
		if offset > start && bytes.HasPrefix(bytes.TrimSpace(line), serviceHeader) || offset == 0 && bytes.HasPrefix(line, serviceHeader) {
			sections = append(sections, text[start:offset:offset])
			start = offset
		}
		offset += len(line)
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
func Missing(sums []uint64, available [][]byte) []uint64 {
	seen := indexBySum(available)
	var missing []uint64
	for _, sum := range sums {
		if _, ok := seen[sum]; !ok {
			missing = append(missing, sum)
			seen[sum] = nil
		}
	}
	return missing
}

// Assemble joins the sections named by sums, which come from have and
// received in any order. It returns ErrSection when one is missing.
func Assemble(sums []uint64, available, received [][]byte) ([]byte, error) {
	sectionBySum := indexBySum(available, received)
	sections := make([][]byte, len(sums))
	size := 0
	for i, sum := range sums {
		s, ok := sectionBySum[sum]
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

func indexBySum(lists ...[][]byte) map[uint64][]byte {
	sectionBySum := make(map[uint64][]byte)
	for _, sections := range lists {
		for _, s := range sections {
			sectionBySum[Sum(s)] = s
		}
	}
	return sectionBySum
}
