package parser

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
)

// Platforms of the dialect cymdeithas render the settings file from what they state. Nobody
// reads a refusal of such a file, so an instance starts with whatever it can: a value out of
// range is replaced by the nearest one in it, and a line that cannot be used is left out.
// Settings.Warnings has them.
var renderedDialect = regexp.MustCompile(`(?m)^dialect *= *"cymdeithas" *$`)

// renderedName matches the names that a platform may give to instances, zones and regions.
var renderedName = regexp.MustCompile(`^[^\x00-\x1f\x7f]{1,255}$`)

// essentialKeys are the settings without which no instance can start.
var essentialKeys = []string{"name", "zone", "callers", "peers", "platform", "dialect"}

// decodeSettings decodes and checks the settings of an instance.
func decodeSettings(file string, text []byte) (*Settings, *checker) {
	if !renderedDialect.Match(text) {
		s := new(Settings)
		c := decode(file, text, s)
		c.checkSettings(s)
		return s, c
	}
	var omitted []Mistake
	for pass := 1; ; pass++ {
		s := new(Settings)
		c := decode(file, text, s)
		c.rendered = true
		c.checkSettings(s)
		unusable := slices.DeleteFunc(slices.Clone(c.mistakes), isEssential)
		if len(unusable) == 0 || pass == maxDecodePasses {
			s.Warnings = append(omitted, c.warnings...)
			return s, c
		}
		for _, m := range unusable {
			m.Reason += "; the line is left out"
			omitted = append(omitted, m)
			text = withoutLine(text, m.Line)
		}
	}
}

// isEssential reports whether an instance cannot start without what m is about.
func isEssential(m Mistake) bool { return m.Line == 0 || slices.Contains(essentialKeys, m.Key) }

// withoutLine returns text with line n, from 1, empty.
func withoutLine(text []byte, n int) []byte {
	lines := bytes.Split(text, []byte("\n"))
	if n <= len(lines) {
		lines[n-1] = nil
	}
	return bytes.Join(lines, []byte("\n"))
}

// addWarning records that the value at path is replaced.
func (c *checker) addWarning(path string, value, used any) {
	c.warnings = append(c.warnings, Mistake{
		File: c.file, Line: c.index.closestLine(path), Key: displayPath(path), Path: path,
		Reason: fmt.Sprintf("%v counts as %v", printableNumber(value), printableNumber(used)),
	})
}

// limitRange records a mistake if the file sets the key at path and *v is not between
// lowest and highest, inclusive. In rendered settings it replaces such a value instead.
func limitRange[T int | float64 | Duration | Figure](c *checker, path string, v *T, lowest, highest T) {
	if !c.rendered {
		checkRange(c, path, *v, lowest, highest)
		return
	}
	if used := min(max(*v, lowest), highest); hasValue(c, path, *v) && used != *v {
		c.addWarning(path, *v, used)
		*v = used
	}
}

// limitOption is limitRange for an Option.
func limitOption(c *checker, path string, o *Option, lowest, highest float64) {
	if v, ok := o.Get(); ok {
		limitRange(c, path, &v, lowest, highest)
		*o = Some(v)
	}
}
