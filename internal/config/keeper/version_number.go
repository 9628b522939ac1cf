package keeper

import "github.com/pelletier/go-toml/v2"

// readVersionNumber returns the version number in text, which need not be a valid
// bundle; 0 if it cannot be read.
func readVersionNumber(text []byte) uint64 {
	var header struct {
		Version uint64 `toml:"version"`
	}
	if err := toml.Unmarshal(text, &header); err != nil {
		return 0
	}
	return header.Version
}
