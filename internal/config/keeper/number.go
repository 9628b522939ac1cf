package keeper

import "github.com/pelletier/go-toml/v2"

// number returns the version of a refused text, 0 when it cannot be read.
func number(text []byte) uint64 {
	var head struct {
		Version uint64 `toml:"version"`
	}
	if err := toml.Unmarshal(text, &head); err != nil {
		return 0
	}
	return head.Version
}
