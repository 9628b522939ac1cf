package parser

import "github.com/pkg/errors"

// Rank is the priority of a call. A lower value is more urgent.
type Rank uint8

// The ranks, most urgent first.
const (
	Urgent Rank = iota
	Normal
	Patient
)

// RankCount is the number of ranks.
const RankCount = 3

// ErrInvalidRank reports text that is not the name of a rank.
var ErrInvalidRank = errors.New("rank is none of urgent, normal, patient")

var rankNames = [RankCount]string{"urgent", "normal", "patient"}

// String returns the name of r as used in files, headers and metrics.
func (r Rank) String() string {
	if int(r) >= len(rankNames) {
		return "invalid"
	}
	return rankNames[r]
}

// MarshalText encodes r as its name.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the name of a rank. It returns ErrInvalidRank for any other
// text.
func (r *Rank) UnmarshalText(text []byte) error {
	for i, name := range rankNames {
		if name == string(text) {
			*r = Rank(i)
			return nil
		}
	}
	return errors.Wrapf(ErrInvalidRank, "%q", text)
}
