package retrier

import "time"

// sentReport is the report of Attempt.MarkSent.
type sentReport struct {
	attempt  *Attempt
	at       time.Time
	slowdown float64
}

// reportSent delivers s to awaitAnswer before the result of the attempt.
func (g *attemptGroup[T]) reportSent(s sentReport) {
	select {
	case g.sent <- s:
	case <-g.done:
	}
}

// handleSent records that an attempt was sent and starts the timer of its hedge.
func (g *attemptGroup[T]) handleSent(s sentReport, hedgeTimer *time.Timer) {
	s.attempt.sentAt, s.attempt.slowdown = s.at, s.slowdown
	if s.attempt.Hedge {
		g.notifyHedge(HedgeSent)
		return
	}
	g.primary = s.attempt
	if g.hedged || !g.call.Hedge || !g.call.Idempotent || g.limit.Hedge <= 0 {
		return
	}
	if at, ok := g.service.work.hedgeTime(g.call.Route, SentAttempt{s.at, g.call.Target, s.slowdown}); ok {
		hedgeTimer.Reset(at.Sub(s.at))
	}
}

// acquireHedge reports whether the call may be hedged now; if so, it takes a token and
// one unit of the budget.
func (g *attemptGroup[T]) acquireHedge() bool {
	if g.limit == nil {
		return g.acquireAttempt(&g.service.reruns)
	}
	if g.extraAttempts >= g.call.Budget {
		return false
	}
	g.hedged = true
	if !g.service.takeHedgeToken(g.limit) {
		g.notifyHedge(HedgeUnfunded)
		return false
	}
	g.extraAttempts++
	return true
}

func (g *attemptGroup[T]) isUnsentHedge(a *Attempt) bool { return a.Hedge && a.sentAt.IsZero() }

// releaseHedge returns what the hedge a used, which was not sent.
func (g *attemptGroup[T]) releaseHedge(a *Attempt) {
	g.extraAttempts--
	g.service.refundHedgeToken()
	if a.Number == g.lastNumber {
		g.cancels[a.Number-1]()
		g.cancels = g.cancels[:a.Number-1]
		g.lastNumber--
	}
	g.notifyHedge(HedgeDenied)
}

// mayRetryNow reports whether a retry may follow the failure of a. With a Limit, an
// attempt that still runs takes the place of a retry.
func (g *attemptGroup[T]) mayRetryNow(a *Attempt, hedgeTimer *time.Timer) bool {
	if g.limit == nil {
		return true
	}
	if !a.Hedge {
		hedgeTimer.Stop() // There is no attempt left that a hedge could overtake.
	}
	return g.running == 0
}

// recordAnswer records the work of the route after the answer of a. If a is a hedge,
// the work of the attempt that it overtook is at least the time that has passed.
func (g *attemptGroup[T]) recordAnswer(a *Attempt) {
	if g.limit == nil || g.primary == nil {
		return
	}
	if a.Hedge {
		g.notifyHedge(HedgeWon)
	}
	if a.Hedge || a == g.primary {
		g.service.work.record(g.call.Route, time.Since(g.primary.sentAt), g.primary.slowdown)
	}
}

func (g *attemptGroup[T]) notifyHedge(e HedgeEvent) {
	if g.call.OnHedge != nil {
		g.call.OnHedge(e)
	}
}
