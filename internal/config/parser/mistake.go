package parser

import (
	"fmt"
	"strings"
)

// Mistake is one invalid value, missing or unknown key, or syntax error of a file. The
// warnings of package linter have the same form.
type Mistake struct {
	File   string
	Line   int    // 0 if the mistake belongs to no line.
	Key    string // Without the positions of array elements; empty if unknown.
	Path   string // Key with the positions of array elements, from 0; empty if unknown.
	Reason string
}

// MistakesError reports all mistakes that were found in one or several files.
type MistakesError struct{ Mistakes []Mistake }

// Error returns one line for each mistake.
func (e *MistakesError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// String returns file, line, key and reason in one line.
func (m Mistake) String() string {
	s := m.File
	if m.Line > 0 {
		s = fmt.Sprintf("%s:%d", s, m.Line)
	}
	if m.Key != "" {
		s += ": " + m.Key
	}
	return s + ": " + m.Reason
}
