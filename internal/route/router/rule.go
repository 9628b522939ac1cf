package router

import (
	"math/rand/v2"
	"sync"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Rule is a rule of the bundle together with the services of its parts.
type Rule struct {
	parser.Rule
	Services []*Service // Services[i] is the service of Parts[i].

	mu      sync.Mutex
	credits []float64 // Calls that each part should have received beyond those it did.
}

// PickService returns the service for the next call by smooth weighted round
// robin: each part is credited with its share of a call, and the part with the
// highest credit receives the call and is charged for it. The counts of any
// sequence of calls stay within one call of the exact shares. The sequence begins
// at a random call, because a rule is made anew with each table: instances with few calls
// between two tables would otherwise all start with the part of the greatest weight.
func (r *Rule) PickService() *Service {
	if len(r.Services) == 1 {
		return r.Services[0]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	if r.credits == nil {
		r.credits = make([]float64, len(r.Parts))
		for range rand.IntN(min(max(total, 1), maxSkippedCalls)) {
			r.pickPart(total)
		}
	}
	return r.Services[r.pickPart(total)]
}

// maxSkippedCalls bounds the calls that are skipped at the start of a sequence. It is above the
// usual sum of the weights, which are percentages, after which the sequence repeats.
const maxSkippedCalls = 1000

// pickPart returns the part that receives the next call; total is the sum of the weights.
func (r *Rule) pickPart(total int) int {
	best := -1
	for i, p := range r.Parts {
		if p.Weight == 0 {
			continue
		}
		r.credits[i] += float64(p.Weight) / float64(total)
		if best < 0 || r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best]--
	return best
}
