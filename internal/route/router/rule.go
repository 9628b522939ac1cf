package router

import (
	"math"
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
// between two tables would otherwise all start with the part of the greatest weight. The
// result is nil if no service can serve the call.
func (r *Rule) PickService() *Service {
	if len(r.Services) == 1 && r.Parts[0].Weight > 0 {
		return r.Services[0]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	if !(total > 0) {
		return nil
	}
	if r.credits == nil {
		r.credits = make([]float64, len(r.Parts))
		for range rand.IntN(r.sequenceLength(total)) {
			r.pickPart(total)
		}
	}
	return r.Services[r.pickPart(total)]
}

// maxSkippedCalls bounds the calls that are skipped at the start of a sequence. It is above the
// usual sum of the weights, which are percentages, after which the sequence repeats.
const maxSkippedCalls = 1000

// sequenceLength returns the number of calls after which the sequence repeats, the sum of the
// weights if they are whole, but at most maxSkippedCalls.
func (r *Rule) sequenceLength(total float64) int {
	for _, p := range r.Parts {
		if p.Weight != math.Trunc(p.Weight) {
			return maxSkippedCalls
		}
	}
	return int(min(total, maxSkippedCalls))
}

// pickPart returns the part that receives the next call; total is the sum of the weights.
func (r *Rule) pickPart(total float64) int {
	best := -1
	for i, p := range r.Parts {
		if p.Weight == 0 {
			continue
		}
		r.credits[i] += p.Weight / total
		if best < 0 || r.credits[i] > r.credits[best] {
			best = i
		}
	}
	r.credits[best]--
	return best
}
