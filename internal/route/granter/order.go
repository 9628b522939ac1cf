package granter

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// workStep is the factor between two classes of work: calls whose work differs
// by less count as alike, as the work of a single call is spread by about a third.
const workStep = 1.3

// arrange returns the asks of a queue in the order in which they are served:
// those that can still meet their target first. Under overload the shorter work
// goes first, which serves the most calls in their target, and among alike ones
// the newest; otherwise the oldest goes first.
func (p *Pool) arrange(now time.Time, q *queue) []*waiting {
	all := p.order[:0]
	for e := q.asks.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiting)
		w.missed = p.misses(now, w)
		all = append(all, w)
	}
	p.order = all
	if len(all) < 2 {
		return all
	}
	if !p.overloaded(now, q) {
		slices.SortStableFunc(all, func(a, b *waiting) int { return compareBools(a.missed, b.missed) })
		return all
	}
	slices.Reverse(all)
	for _, w := range all {
		w.class = classOf(p.workOf(w.Ask))
	}
	slices.SortStableFunc(all, func(a, b *waiting) int {
		return cmp.Or(compareBools(a.missed, b.missed), cmp.Compare(a.class, b.class))
	})
	return all
}

// overloaded reports whether the oldest ask of q has waited for so long that the
// newest should go first.
func (p *Pool) overloaded(now time.Time, q *queue) bool {
	front := q.asks.Front()
	if front == nil || !p.fresh() {
		return q.overloaded(now)
	}
	w := front.Value.(*waiting)
	return now.Sub(w.since) > p.patience(w)/2
}

// misses reports whether w would end after its target if it were served now.
func (p *Pool) misses(now time.Time, w *waiting) bool {
	return now.Add(p.workOf(w.Ask)).After(w.Target)
}

func classOf(work time.Duration) int {
	if work <= 0 {
		return 0
	}
	return int(math.Floor(math.Log(float64(work)) / math.Log(workStep)))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
