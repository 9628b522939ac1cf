package main

import (
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/linter"
	"sardinelever.example/sardinelever/internal/config/parser"
)

// fileChecker collects the mistakes and warnings of several files.
type fileChecker struct {
	dialect  *dialectFlag
	mistakes parser.MistakesError
	warnings []parser.Mistake
	count    map[parser.FileKind]int
	services []parser.File
	bundles  []checkedBundle
	settings []*parser.Settings
}

// checkedBundle is a valid bundle with its file and its keys.
type checkedBundle struct {
	*parser.Bundle
	file parser.File
	keys *parser.KeyLocator
}

// checkFile checks f, except that service files are only kept for checkServices. It
// returns an error if f can't be checked at all.
func (c *fileChecker) checkFile(f parser.File) error {
	kind := parser.DetectFileKind(f.Text)
	if c.dialect.isRecord(f.Text) {
		kind = parser.BundleFile
	}
	c.count[kind]++
	switch kind {
	case parser.BundleFile:
		b, text, err := c.dialect.parseBundle(f)
		if err != nil {
			return c.addMistakes(err)
		}
		keys := parser.NewKeyLocator(parser.File{Name: f.Name, Text: text})
		c.bundles = append(c.bundles, checkedBundle{Bundle: b, file: f, keys: keys})
		c.addWarnings(f, b.Notes)
		c.addWarnings(f, linter.LintBundle(b, keys))
	case parser.SettingsFile:
		s, err := parser.ParseSettings(f.Name, f.Text)
		if err != nil {
			return c.addMistakes(err)
		}
		c.settings = append(c.settings, s)
		c.addWarnings(f, s.Warnings)
	case parser.ServiceFile:
		c.services = append(c.services, f)
	}
	return nil
}

// checkServices checks the service files together.
func (c *fileChecker) checkServices() {
	services, err := parser.ParseServices(c.services)
	if err != nil {
		_ = c.addMistakes(err) // ParseServices returns mistakes only.
		return
	}
	for i, f := range c.services {
		c.addWarnings(f, linter.LintService(&services[i], parser.NewKeyLocator(f)))
	}
}

// lintAttempts compares the rules of all bundles with all settings.
func (c *fileChecker) lintAttempts() {
	for _, b := range c.bundles {
		for _, s := range c.settings {
			c.addWarnings(b.file, linter.LintAttempts(b.Bundle, s, b.keys))
		}
	}
}

// addMistakes adds the mistakes in err. It returns any other error.
func (c *fileChecker) addMistakes(err error) error {
	var m *parser.MistakesError
	if !errors.As(err, &m) {
		return err
	}
	c.mistakes.Mistakes = append(c.mistakes.Mistakes, m.Mistakes...)
	return nil
}

// addWarnings adds the warnings on f.
func (c *fileChecker) addWarnings(f parser.File, warnings []parser.Mistake) {
	c.dialect.relocate(f, warnings)
	c.warnings = append(c.warnings, warnings...)
}
