package parser

import (
	"bytes"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Mistake is one fault of a file.
type Mistake struct {
	File   string
	Line   int // 0 when the fault belongs to no line.
	Key    string
	Reason string
}

// MistakesError lists every fault that was found in a file.
type MistakesError struct{ Mistakes []Mistake }

// Error returns one line for each mistake.
func (e *MistakesError) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// ParseBundle decodes a bundle; file is the name used in errors.
func ParseBundle(file string, text []byte) (*Bundle, error) {
	b := new(Bundle)
	if err := decode(file, text, b); err != nil {
		return nil, err
	}
	return b, nil
}

// ParseSettings decodes the settings of an instance; file is the name used in errors.
func ParseSettings(file string, text []byte) (*Settings, error) {
	s := new(Settings)
	if err := decode(file, text, s); err != nil {
		return nil, err
	}
	return s, nil
}

// FormatBundle encodes b as TOML.
func FormatBundle(b *Bundle) ([]byte, error) {
	text, err := toml.Marshal(b)
	return text, errors.Wrap(err, "bundle cannot be encoded")
}

func decode(file string, text []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		e := new(MistakesError)
		for i := range strict.Errors {
			e.Mistakes = append(e.Mistakes, mistake(file, &strict.Errors[i], "unknown key"))
		}
		return e
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return &MistakesError{Mistakes: []Mistake{mistake(file, syntax, syntax.Error())}}
	}
	return &MistakesError{Mistakes: []Mistake{{File: file, Reason: err.Error()}}}
}

func mistake(file string, e *toml.DecodeError, reason string) Mistake {
	line, _ := e.Position()
	return Mistake{File: file, Line: line, Key: strings.Join(e.Key(), "."), Reason: reason}
}
