package parser

import (
	"bytes"
	"cmp"
	"encoding"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// maxDecodePasses is the largest number of times that a file is decoded. Each pass
// finds at most one value of a wrong type.
const maxDecodePasses = 50

// File is the text of a file and its name as used in errors.
type File struct {
	Name string
	Text []byte
}

// ParseBundle decodes and checks the text of a bundle and returns the bundle
// with defaults; file is the name used in errors. The checks depend on text
// alone, so all instances accept or refuse the same bundles. The error is a
// *MistakesError.
func ParseBundle(file string, text []byte) (*Bundle, error) {
	b := new(Bundle)
	c := decode(file, text, b)
	c.checkBundle(b)
	if err := c.asError(); err != nil {
		return nil, err
	}
	b.setDefaults()
	return b, nil
}

// ParseConverted is ParseBundle for the text that FormatBundle made of a bundle in another
// format, as CheckConverted describes.
func ParseConverted(file string, text []byte) (*Bundle, error) {
	b := new(Bundle)
	c := decode(file, text, b)
	c.converted = true
	c.checkBundle(b)
	if err := c.asError(); err != nil {
		return nil, err
	}
	b.setDefaults()
	return b, nil
}

// CheckConverted checks b, which was made from another format than TOML, and sets its
// defaults; name is the name used in errors. Zero values count as keys that are not set.
// Names, hosts and paths follow the rules of the other format, which may also state a rule
// twice, or one without a part that can serve its calls; those are refused. The result is that
// of ParseConverted for the text of FormatBundle, which can be many times as long as the one
// that b was made from. The error is a *MistakesError.
func CheckConverted(name string, b *Bundle) error {
	c := &checker{file: name, pathsWithMistake: make(map[string]bool), converted: true}
	c.checkBundle(b)
	if err := c.asError(); err != nil {
		return err
	}
	b.setDefaults()
	return nil
}

// ParseService decodes and checks one service file. It applies no defaults: keys
// that the file does not set stay zero. The error is a *MistakesError.
func ParseService(file string, text []byte) (*Service, error) {
	s, err := ParseServices([]File{{Name: file, Text: text}})
	if err != nil {
		return nil, err
	}
	return &s[0], nil
}

// ParseServices decodes and checks service files, each by itself and for names and
// hosts that several of them define. It applies no defaults: keys that a file does
// not set stay zero. The error is a *MistakesError with the mistakes of all files.
func ParseServices(files []File) ([]Service, error) {
	services := make([]Service, len(files))
	allMistakes := new(MistakesError)
	defined := make(definitions)
	for i, f := range files {
		c := decode(f.Name, f.Text, &services[i])
		c.checkService("", &services[i])
		c.addServiceDefinitions("", &services[i], defined)
		allMistakes.Mistakes = append(allMistakes.Mistakes, c.sortMistakes()...)
	}
	if len(allMistakes.Mistakes) > 0 {
		return nil, allMistakes
	}
	return services, nil
}

// ParseSettings decodes and checks the settings of an instance and returns them
// with defaults; file is the name used in errors. The error is a *MistakesError.
func ParseSettings(file string, text []byte) (*Settings, error) {
	s, c := decodeSettings(file, text)
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

// checker checks the values of one file and collects its mistakes.
//
// The methods identify a value by its path, the keys and the positions of array
// elements that lead to it, for example services.0.routes.1.rank.
type checker struct {
	file             string
	index            *keyIndex       // nil for a bundle that was not decoded from a file.
	pathsWithMistake map[string]bool // Paths for which a mistake is recorded.
	converted        bool            // The bundle was made from another format; see CheckConverted.
	decodeFailed     bool            // The file was not decoded completely, so its values are not checked.
	mistakes         []Mistake
	rendered         bool // The file is one of settings that a platform rendered; see decodeSettings.
	warnings         []Mistake
}

// decode decodes text into target, a pointer to a struct, and returns a checker
// with the mistakes found. The decoder stops at the first value of a wrong type, so
// decode records the mistake, overwrites the value with spaces and decodes the
// text again.
func decode(file string, text []byte, target any) *checker {
	c := &checker{file: file, index: newKeyIndex(text), pathsWithMistake: make(map[string]bool)}
	remaining := bytes.Clone(text)
	for range maxDecodePasses {
		err := toml.NewDecoder(bytes.NewReader(remaining)).DisallowUnknownFields().Decode(target)
		if err == nil {
			c.addNumbersForText(target)
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

// isBlanked reports whether a mistake is recorded on the line of expression i. The
// expression is blank already in that case, and blanking it again has no effect.
func (c *checker) isBlanked(i int) bool {
	line := c.index.expressions[i].line
	return slices.ContainsFunc(c.mistakes, func(m Mistake) bool { return m.Line == line })
}

// addUnknownKeys records the keys of the file that no struct field has.
func (c *checker) addUnknownKeys(e *toml.StrictMissingError) {
	for i := range e.Errors {
		line, _ := e.Errors[i].Position()
		c.mistakes = append(c.mistakes, Mistake{File: c.file, Line: line, Key: strings.Join(e.Errors[i].Key(), "."), Reason: "unknown key"})
	}
}

// addNumbersForText records the numbers in the file for keys whose values are text. The
// decoder would store them in the fields as they are.
func (c *checker) addNumbersForText(target any) {
	text := make(map[string]bool)
	addTextKeys(text, "", reflect.TypeOf(target))
	for _, path := range c.index.numberPaths {
		if text[displayPath(path)] {
			c.addMistake(path, "is a number; the value must be text in quotes")
		}
	}
}

var (
	textType   = reflect.TypeFor[encoding.TextUnmarshaler]()
	numberType = reflect.TypeFor[interface{ isNumber() }]()
)

// addTextKeys adds the keys of t, and of the types inside it, whose values are decoded
// from text, as displayPath shows them.
func addTextKeys(keys map[string]bool, path string, t reflect.Type) {
	switch {
	case reflect.PointerTo(t).Implements(numberType):
	case reflect.PointerTo(t).Implements(textType):
		keys[path] = true
	case t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice:
		addTextKeys(keys, path, t.Elem())
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
			addTextKeys(keys, joinPath(path, name), t.Field(i).Type)
		}
	}
}

// sortMistakes sorts the mistakes by line and returns them.
func (c *checker) sortMistakes() []Mistake {
	slices.SortStableFunc(c.mistakes, func(a, b Mistake) int { return cmp.Compare(a.Line, b.Line) })
	return c.mistakes
}

// asError returns the mistakes as a *MistakesError, or nil if there are none.
func (c *checker) asError() error {
	if len(c.mistakes) == 0 {
		return nil
	}
	return &MistakesError{Mistakes: c.sortMistakes()}
}

// decodeReason returns the message of a decoder error without the name of the decoder.
func decodeReason(err error) string { return strings.TrimPrefix(err.Error(), "toml: ") }
