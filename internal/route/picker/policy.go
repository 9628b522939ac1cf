package picker

import "math/rand/v2"

// Candidate is a value that may be chosen, with the measures that policies compare.
type Candidate[T any] struct {
	Value    T
	Score    float64 // Used by LowestScore; lower is better.
	InFlight int     // Calls in flight; used by LeastOutstanding.
}

// Policy chooses one of several candidates.
type Policy[T any] interface {
	// Pick returns the index of the chosen candidate, or -1 if there are none.
	Pick(candidates []Candidate[T]) int
}

var (
	_ Policy[int] = LowestScore[int]{}
	_ Policy[int] = Random[int]{}
	_ Policy[int] = (*RoundRobin[int])(nil)
	_ Policy[int] = LeastOutstanding[int]{}
)

// LowestScore chooses the candidate with the lowest score, at random among equals.
type LowestScore[T any] struct{ Rand *rand.Rand } // A nil Rand means the global source of math/rand/v2.

// Pick implements Policy.
func (l LowestScore[T]) Pick(candidates []Candidate[T]) int {
	return pickLowest(l.Rand, candidates, func(c *Candidate[T]) float64 { return c.Score })
}

// LeastOutstanding chooses the candidate with the fewest calls in flight, at random among equals.
type LeastOutstanding[T any] struct{ Rand *rand.Rand } // A nil Rand means the global source of math/rand/v2.

// Pick implements Policy.
func (l LeastOutstanding[T]) Pick(candidates []Candidate[T]) int {
	return pickLowest(l.Rand, candidates, func(c *Candidate[T]) float64 { return float64(c.InFlight) })
}

// Random chooses a candidate uniformly at random.
type Random[T any] struct{ Rand *rand.Rand } // A nil Rand means the global source of math/rand/v2.

// Pick implements Policy.
func (r Random[T]) Pick(candidates []Candidate[T]) int {
	if len(candidates) == 0 {
		return -1
	}
	return randIntN(r.Rand, len(candidates))
}

// RoundRobin chooses the candidates in turn by their index. It is not safe for concurrent use.
type RoundRobin[T any] struct{ next int }

// Pick implements Policy.
func (r *RoundRobin[T]) Pick(candidates []Candidate[T]) int {
	if len(candidates) == 0 {
		return -1
	}
	r.next++
	return (r.next - 1) % len(candidates)
}

// pickLowest returns the index of the candidate with the lowest measure, at random
// among equals, or -1 if there are none.
func pickLowest[T any](rng *rand.Rand, candidates []Candidate[T], measure func(*Candidate[T]) float64) int {
	chosen, ties := -1, 0
	var lowest float64
	for i := range candidates {
		v := measure(&candidates[i])
		switch {
		case chosen < 0 || v < lowest:
			chosen, lowest, ties = i, v, 1
		case v == lowest:
			// Reservoir sampling: the n-th of equal candidates replaces the choice
			// with probability 1/n.
			if ties++; randIntN(rng, ties) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// randIntN returns a random integer in [0, n) from rng, or from the global source if
// rng is nil.
func randIntN(rng *rand.Rand, n int) int {
	if rng == nil {
		return rand.IntN(n)
	}
	return rng.IntN(n)
}
