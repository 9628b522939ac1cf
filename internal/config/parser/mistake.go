package parser

import "fmt"

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
