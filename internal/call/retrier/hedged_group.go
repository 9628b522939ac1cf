package retrier

import (
	"context"
	"time"
)

// sentReport is the report of Attempt.MarkSent.
type sentReport struct {
	attempt  *Attempt
	at       time.Time
	slowdown float64
	onSilent func()
}

// reportSent delivers s to awaitAnswer before the result of the attempt.
func (g *attemptGroup[T]) reportSent(s sentReport) {
	if g.limit.Hedge > 0 {
		work := g.service.work.times(g.call.Route)
		s.attempt.silentAfter.Store(int64(work.SilentAfter(s.slowdown)))
	}
	select {
	case g.sent <- s:
	case <-g.done:
	}
}

// handleSent records that an attempt was sent and starts the timers of its hedge and of
// its silence.
func (g *attemptGroup[T]) handleSent(s sentReport) {
	s.attempt.sentAt, s.attempt.slowdown, s.attempt.onSilent = s.at, s.slowdown, s.onSilent
	if s.attempt.Hedge {
		g.notifyHedge(s.attempt, HedgeSent)
		return
	}
	g.primary = s.attempt
	if g.limit.Hedge <= 0 {
		return
	}
	work := g.service.work.times(g.call.Route)
	sent := SentAttempt{s.at, g.call.Target, s.slowdown}
	if at, ok := work.HedgeTime(sent); ok && !g.hedged && g.mayOverlap() {
		g.hedgeTimer.Reset(at.Sub(s.at))
	}
	if at, ok := work.RetryTime(sent, g.call.Deadline); ok {
		g.silentTimer.Reset(at.Sub(s.at))
	}
}

// mayOverlap reports whether two attempts of the call may run at the same time.
func (g *attemptGroup[T]) mayOverlap() bool { return g.call.Hedge && g.call.Idempotent }

// handleSilence gives up the primary attempt as silent, which goes on.
func (g *attemptGroup[T]) handleSilence(ctx context.Context) {
	if g.primary.onSilent != nil {
		g.primary.onSilent()
	}
	g.silentDue = true
	g.retrySilent(ctx)
}

// retrySilent starts a retry of the silent primary attempt, if there is a token and no
// hedge runs that may answer. After the target, the retry must not wait for a slot, as a
// hedge: while slots are short, they go to calls that can still be answered in time.
func (g *attemptGroup[T]) retrySilent(ctx context.Context) {
	if g.silentDue && g.running == 1 && g.mayOverlap() && g.acquireAttempt(&g.service.reruns) {
		g.silentDue = false
		g.startAttempt(ctx, time.Now().After(g.call.Target)).silentRetry = true
	}
}

func newStoppedTimer() *time.Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return t
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
		g.notifyHedge(nil, HedgeUnfunded)
		return false
	}
	g.extraAttempts++
	return true
}

func (g *attemptGroup[T]) isUnsentHedge(a *Attempt) bool { return a.Hedge && a.sentAt.IsZero() }

// releaseHedge returns what the hedge a used, which was not sent.
func (g *attemptGroup[T]) releaseHedge(a *Attempt) {
	g.extraAttempts--
	g.service.refundHedgeToken(a.silentRetry)
	if a.Number == g.lastNumber {
		g.cancels[a.Number-1]()
		g.cancels = g.cancels[:a.Number-1]
		g.lastNumber--
	}
	g.notifyHedge(a, HedgeDenied)
}

// mayRetryNow reports whether a retry may follow the failure of a. With a Limit, an
// attempt that still runs takes the place of a retry.
func (g *attemptGroup[T]) mayRetryNow(a *Attempt) bool {
	if g.limit == nil {
		return true
	}
	if a == g.primary {
		g.hedgeTimer.Stop() // There is no attempt left that another could overtake.
		g.silentTimer.Stop()
		g.silentDue = false
	}
	return g.running == 0
}

// recordAnswer records the work of the route after the answer of a. If a is a hedge,
// the work of the attempt that it overtook is at least the time that has passed, unless
// that attempt is silent and may never be answered.
func (g *attemptGroup[T]) recordAnswer(a *Attempt) {
	if g.limit == nil || a.sentAt.IsZero() {
		return
	}
	if a.Hedge && !a.silentRetry {
		g.notifyHedge(a, HedgeWon)
		if a = g.primary; a.IsSilent(time.Since(a.sentAt)) {
			return
		}
	}
	g.service.work.record(g.call.Route, time.Since(a.sentAt), a.slowdown)
}

// notifyHedge reports an event of the hedge a, unless a is the retry of a silent call.
func (g *attemptGroup[T]) notifyHedge(a *Attempt, e HedgeEvent) {
	if g.call.OnHedge != nil && (a == nil || !a.silentRetry) {
		g.call.OnHedge(e)
	}
}
