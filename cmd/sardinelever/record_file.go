package main

import (
	"bytes"
	"os"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/watcher"
	"sardinelever.example/sardinelever/platform"
)

// dialectFlag holds the flag with the format of configuration records.
type dialectFlag struct {
	Dialect string `default:"native" enum:"native,cymdeithas" help:"Format of the platform (native, cymdeithas); with cymdeithas, a JSON file is a configuration record."`
}

// isRecord reports whether text is a configuration record in the dialect.
func (d *dialectFlag) isRecord(text []byte) bool {
	return d.Dialect == "cymdeithas" && bytes.HasPrefix(bytes.TrimSpace(text), []byte("{"))
}

// readBundle reads and parses the bundle or configuration record in file.
func (d *dialectFlag) readBundle(file string) (*parser.Bundle, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	b, _, err := d.parseBundle(parser.File{Name: file, Text: text})
	return b, err
}

// parseBundle parses f, a bundle or, in the dialect, a configuration record. It returns
// the bundle and its text, which is not that of f for a record.
func (d *dialectFlag) parseBundle(f parser.File) (*parser.Bundle, []byte, error) {
	if err := bundler.CheckBundleSize(f.Text); err != nil {
		return nil, nil, errors.Wrap(err, f.Name)
	}
	text := f.Text
	if d.isRecord(f.Text) {
		var err error
		if text, err = (platform.Decoder{}).DecodeBundle(watcher.Record{Key: platform.ConfigKey, Value: f.Text}); err != nil {
			return nil, nil, errors.Wrap(err, f.Name)
		}
	}
	parse := parser.ParseBundle
	if d.isRecord(f.Text) {
		parse = parser.ParseConverted
	}
	b, err := parse(f.Name, text)
	if err == nil && d.isRecord(f.Text) {
		b.Notes, err = recordNotes(f)
	}
	var m *parser.MistakesError
	if errors.As(err, &m) {
		d.relocate(f, m.Mistakes)
	}
	return b, text, err
}

// recordNotes returns the notes on f, a configuration record.
func recordNotes(f parser.File) ([]parser.Mistake, error) {
	b, err := platform.Decoder{}.ParseBundle(f.Text)
	if err != nil {
		return nil, err
	}
	for i := range b.Notes {
		b.Notes[i].File = f.Name
	}
	return b.Notes, nil
}

// relocate replaces the places of findings in the translated bundle by those in f, if
// f is a configuration record.
func (d *dialectFlag) relocate(f parser.File, findings []parser.Mistake) {
	if !d.isRecord(f.Text) {
		return
	}
	for i := range findings {
		findings[i].Key, findings[i].Line = platform.ConfigPlace(f.Text, findings[i].Path)
	}
}
