package picker

import "math/rand/v2"

// Candidate is a choice with what the policies weigh.
type Candidate[T any] struct {
	Value T
	Score float64 // Lower is better; used by Best.
	Busy  int     // Calls in flight; used by Least.
}

// Policy chooses one of the candidates; it returns -1 when there is none.
type Policy[T any] interface {
	Pick(candidates []Candidate[T]) int
}

var (
	_ Policy[int] = Best[int]{}
	_ Policy[int] = Random[int]{}
	_ Policy[int] = (*Robin[int])(nil)
	_ Policy[int] = Least[int]{}
)

// Best chooses the lowest score, ties at random.
type Best[T any] struct{ Rand *rand.Rand } // A nil Rand means the shared source.

// Pick returns the index of the choice.
func (l Best[T]) Pick(candidates []Candidate[T]) int {
	return pickLowest(l.Rand, candidates, func(c *Candidate[T]) float64 { return c.Score })
}

// Least chooses the fewest calls in flight, ties at random.
type Least[T any] struct{ Rand *rand.Rand } // A nil Rand means the shared source.

// Pick returns the index of the choice.
func (l Least[T]) Pick(candidates []Candidate[T]) int {
	return pickLowest(l.Rand, candidates, func(c *Candidate[T]) float64 { return float64(c.Busy) })
}

// Random chooses uniformly.
type Random[T any] struct{ Rand *rand.Rand } // A nil Rand means the shared source.

// Pick returns the index of the choice.
func (r Random[T]) Pick(candidates []Candidate[T]) int {
	if len(candidates) == 0 {
		return -1
	}
	return randIntN(r.Rand, len(candidates))
}

// Robin chooses one after the other.
type Robin[T any] struct{ next int }

// Pick returns the index of the choice.
func (r *Robin[T]) Pick(candidates []Candidate[T]) int {
	if len(candidates) == 0 {
		return -1
	}
	r.next++
	return (r.next - 1) % len(candidates)
}

func pickLowest[T any](rng *rand.Rand, candidates []Candidate[T], measure func(*Candidate[T]) float64) int {
	chosen, ties := -1, 0
	var lowest float64
	for i := range candidates {
		v := measure(&candidates[i])
		switch {
		case chosen < 0 || v < lowest:
			chosen, lowest, ties = i, v, 1
		case v == lowest:
			// The n-th tie replaces the choice with probability 1/n.
			if ties++; randIntN(rng, ties) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

func randIntN(rng *rand.Rand, n int) int {
	if rng == nil {
		return rand.IntN(n)
	}
	return rng.IntN(n)
}
