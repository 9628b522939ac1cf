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
	Pick(all []Candidate[T]) int
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
func (b Best[T]) Pick(all []Candidate[T]) int {
	return lowest(b.Rand, all, func(c *Candidate[T]) float64 { return c.Score })
}

// Least chooses the fewest calls in flight, ties at random.
type Least[T any] struct{ Rand *rand.Rand } // A nil Rand means the shared source.

// Pick returns the index of the choice.
func (l Least[T]) Pick(all []Candidate[T]) int {
	return lowest(l.Rand, all, func(c *Candidate[T]) float64 { return float64(c.Busy) })
}

// Random chooses uniformly.
type Random[T any] struct{ Rand *rand.Rand } // A nil Rand means the shared source.

// Pick returns the index of the choice.
func (r Random[T]) Pick(all []Candidate[T]) int {
	if len(all) == 0 {
		return -1
	}
	return intN(r.Rand, len(all))
}

// Robin chooses one after the other.
type Robin[T any] struct{ next int }

// Pick returns the index of the choice.
func (r *Robin[T]) Pick(all []Candidate[T]) int {
	if len(all) == 0 {
		return -1
	}
	r.next++
	return (r.next - 1) % len(all)
}

func lowest[T any](source *rand.Rand, all []Candidate[T], value func(*Candidate[T]) float64) int {
	best, ties := -1, 0
	var least float64
	for i := range all {
		v := value(&all[i])
		switch {
		case best < 0 || v < least:
			best, least, ties = i, v, 1
		case v == least:
			// The n-th tie replaces the choice with probability 1/n.
			if ties++; intN(source, ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func intN(source *rand.Rand, n int) int {
	if source == nil {
		return rand.IntN(n)
	}
	return source.IntN(n)
}
