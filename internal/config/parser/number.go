package parser

import (
	"encoding"
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// Figure is a number that a settings file may also hold as text in quotes, since the platforms
// that render such files leave out what they do not know. Empty text, false and true stand
// for 0: nothing is stated.
type Figure float64

// Option is a number of which 0 is a statement of its own, in the forms of Figure. Empty text and
// true state nothing, and false states 0. The zero value states nothing.
type Option struct {
	value float64
	isSet bool
}

var (
	_ encoding.TextUnmarshaler = (*Figure)(nil)
	_ encoding.TextUnmarshaler = (*Option)(nil)
)

// Some returns an Option that states v.
func Some(v float64) Option { return Option{v, true} }

// Get returns the stated number, and whether there is one.
func (o Option) Get() (v float64, ok bool) { return o.value, o.isSet }

// Or returns the stated number, or other if there is none.
func (o Option) Or(other float64) float64 {
	if o.isSet {
		return o.value
	}
	return other
}

// MarshalText encodes o as a number or, if it states none, as empty text.
func (o Option) MarshalText() ([]byte, error) {
	if !o.isSet {
		return nil, nil
	}
	return strconv.AppendFloat(nil, o.value, 'g', -1, 64), nil
}

// UnmarshalText decodes the forms of an Option.
func (o *Option) UnmarshalText(text []byte) error {
	*o = Option{}
	switch string(text) {
	case "", "true":
		return nil
	case "false":
		*o = Some(0)
		return nil
	}
	v, err := parseNumber(text)
	if err == nil {
		*o = Some(v)
	}
	return err
}

// UnmarshalText decodes the forms of a Figure other than bare numbers.
func (f *Figure) UnmarshalText(text []byte) error {
	var o Option
	err := o.UnmarshalText(text)
	*f = Figure(o.value)
	return err
}

func parseNumber(text []byte) (float64, error) {
	v, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return 0, errors.Errorf("%q is not a number", text)
	}
	return v, nil
}

// isNumber marks the types whose values a file may hold as numbers or as text.
func (*Figure) isNumber() {}
func (*Option) isNumber() {}
