package parser

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// maxMistakes bounds the values of a wrong type that one pass reports: each costs another decoding.
const maxMistakes = 50

// File is the text of a file and the name used in errors.
type File struct {
	Name string
	Text []byte
}

// ParseBundle decodes and checks a bundle and applies the defaults; file is
// the name used in errors. The checks depend on text alone, so every instance
// comes to the same result. The error is a *MistakesError.
func ParseBundle(file string, text []byte) (*Bundle, error) {
	b := new(Bundle)
	c := decode(file, text, b)
	c.checkBundle(b)
	if err := c.asError(); err != nil {
		return nil, err
	}
	for i := range b.Services {
		b.Services[i] = b.Services[i].WithDefaults()
	}
	for i := range b.Rules {
		b.Rules[i] = b.Rules[i].WithDefaults()
	}
	return b, nil
}

// ParseService decodes and checks one service file; keys that it leaves out stay zero.
func ParseService(file string, text []byte) (*Service, error) {
	s, err := ParseServices([]File{{Name: file, Text: text}})
	if err != nil {
		return nil, err
	}
	return &s[0], nil
}

// ParseServices decodes and checks service files, also against each other,
// and reports the mistakes of all of them. Keys that a file leaves out stay zero.
func ParseServices(files []File) ([]Service, error) {
	services := make([]Service, len(files))
	all := new(MistakesError)
	defined := make(definitions)
	for i, f := range files {
		c := decode(f.Name, f.Text, &services[i])
		c.checkService("", &services[i])
		c.addServiceDefinitions("", &services[i], defined)
		all.Mistakes = append(all.Mistakes, c.sortMistakes()...)
	}
	if len(all.Mistakes) > 0 {
		return nil, all
	}
	return services, nil
}

// ParseSettings decodes and checks the settings of an instance and applies the
// defaults; file is the name used in errors. The error is a *MistakesError.
func ParseSettings(file string, text []byte) (*Settings, error) {
	s := new(Settings)
	c := decode(file, text, s)
	c.checkSettings(s)
	if err := c.asError(); err != nil {
		return nil, err
	}
	out := s.WithDefaults()
	return &out, nil
}

// FormatBundle encodes b as TOML.
func FormatBundle(b *Bundle) ([]byte, error) {
	text, err := toml.Marshal(b)
	return text, errors.Wrap(err, "bundle cannot be encoded")
}

// checker collects the mistakes of one file.
type checker struct {
	file             string
	index            *keyIndex
	pathsWithMistake map[string]bool // Paths that already have a mistake.
	decodeFailed     bool            // The file is not TOML, so checks of its values make no sense.
	mistakes         []Mistake
}

// decode reads text into a struct. The decoder stops at the first value of a
// wrong type, so that value is blanked out and the text decoded again.
func decode(file string, text []byte, target any) *checker {
	c := &checker{file: file, index: newKeyIndex(text), pathsWithMistake: make(map[string]bool)}
	remaining := bytes.Clone(text)
	for range maxMistakes {
		err := toml.NewDecoder(bytes.NewReader(remaining)).DisallowUnknownFields().Decode(target)
		if err == nil {
			return c
		}
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			c.addUnknownKeys(strict)
			return c
		}
		var e *toml.DecodeError
		if !errors.As(err, &e) {
			c.mistakes = append(c.mistakes, Mistake{File: file, Reason: decodeReason(err)})
			break
		}
		line, _ := e.Position()
		i, ok := c.index.findExpression(line)
		if !ok || c.index.tomlParser.Error() != nil || c.isBlanked(i) {
			c.mistakes = append(c.mistakes, Mistake{File: file, Line: line, Key: strings.Join(e.Key(), "."), Reason: decodeReason(err)})
			break
		}
		expr := c.index.expressions[i]
		c.mistakes = append(c.mistakes, Mistake{File: file, Line: line, Key: displayPath(expr.path), Reason: decodeReason(err)})
		c.pathsWithMistake[expr.path] = true
		c.index.blankExpression(remaining, i)
	}
	c.decodeFailed = true
	return c
}

// isBlanked reports whether pair i already has a mistake, so that blanking it cannot help.
func (c *checker) isBlanked(i int) bool {
	line := c.index.expressions[i].line
	return slices.ContainsFunc(c.mistakes, func(m Mistake) bool { return m.Line == line })
}

func (c *checker) addUnknownKeys(e *toml.StrictMissingError) {
	for i := range e.Errors {
		line, _ := e.Errors[i].Position()
		c.mistakes = append(c.mistakes, Mistake{File: c.file, Line: line, Key: strings.Join(e.Errors[i].Key(), "."), Reason: "unknown key"})
	}
}

// sortMistakes returns the mistakes in order of line.
func (c *checker) sortMistakes() []Mistake {
	slices.SortStableFunc(c.mistakes, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return c.mistakes
}

func (c *checker) asError() error {
	if len(c.mistakes) == 0 {
		return nil
	}
	return &MistakesError{Mistakes: c.sortMistakes()}
}

func decodeReason(err error) string { return strings.TrimPrefix(err.Error(), "toml: ") }
