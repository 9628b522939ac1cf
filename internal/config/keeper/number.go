package keeper

import "github.com/pelletier/go-toml/v2"

// readVersionNumber returns the version of a refused text, 0 when it cannot be read.
func readVersionNumber(text []byte) uint64 {
	var header struct {
		Version uint64 `toml:"version"`
	}
	if err := toml.Unmarshal(text, &header); err != nil {
		return 0
	}
	return header.Version
}
