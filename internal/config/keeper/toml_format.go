package keeper

import (
	"github.com/pelletier/go-toml/v2"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
)

// tomlFormat is the project's own Format.
type tomlFormat struct{}

// ParseBundle checks the size of text and parses it.
func (tomlFormat) ParseBundle(text []byte) (*parser.Bundle, error) {
	if err := bundler.CheckBundleSize(text); err != nil {
		return nil, err
	}
	return parser.ParseBundle("bundle", text)
}

// ReadVersion returns the version number in text, as Format describes.
func (tomlFormat) ReadVersion(text []byte) uint64 {
	var header struct {
		Version uint64 `toml:"version"`
	}
	if err := toml.Unmarshal(text, &header); err != nil {
		return 0
	}
	return header.Version
}
