package bundler

import (
	"bytes"

	"github.com/pkg/errors"
)

// ErrMissingSection reports a section that the manifest of a bundle lists but that was
// not received.
var ErrMissingSection = errors.New("section is missing")

// serviceHeader is the TOML table header with which the section of a service starts.
var serviceHeader = []byte("[[services]]")

// SplitSections splits the text of a bundle into the text before the first service and
// one section for each service. JoinSections of the result is the same text, byte for
// byte.
func SplitSections(text []byte) [][]byte {
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

// JoinSections returns the text of a bundle, given its sections in order.
func JoinSections(sections [][]byte) []byte { return bytes.Join(sections, nil) }

// SectionSums returns the sum of each section.
func SectionSums(sections [][]byte) []uint64 {
	sums := make([]uint64, len(sections))
	for i, s := range sections {
		sums[i] = Sum(s)
	}
	return sums
}

// MissingSums returns those of sums for which there is no available section, each once.
func MissingSums(sums []uint64, available [][]byte) []uint64 {
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

// AssembleBundle returns the text of the bundle whose sections have the given sums. The
// sections are taken from available and received, which may be in any order. The error
// is ErrMissingSection or a *SizeError.
func AssembleBundle(sums []uint64, available, received [][]byte) ([]byte, error) {
	sectionBySum := indexBySum(available, received)
	sections := make([][]byte, len(sums))
	size := 0
	for i, sum := range sums {
		s, ok := sectionBySum[sum]
		if !ok {
			return nil, errors.Wrapf(ErrMissingSection, "sum %016x", sum)
		}
		// A manifest may repeat a sum any number of times, so the size is checked
		// before the text is joined.
		if size += len(s); size > MaxBundleBytes {
			return nil, &SizeError{Bytes: size}
		}
		sections[i] = s
	}
	return JoinSections(sections), nil
}

// indexBySum returns the sections of all lists by their sums.
func indexBySum(lists ...[][]byte) map[uint64][]byte {
	sectionBySum := make(map[uint64][]byte)
	for _, sections := range lists {
		for _, s := range sections {
			sectionBySum[Sum(s)] = s
		}
	}
	return sectionBySum
}
