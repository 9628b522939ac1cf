package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/sender"
)

const (
	// answerMargin is how long before the end of the shutdown the calls still in flight are
	// ended, so that their callers get an answer before the connections are closed.
	answerMargin = 200 * time.Millisecond
	// shortGrace is the grace time below which both margins are shortened in proportion.
	// Calls that came early may be ended in the last sixth of the grace time, and not before.
	shortGrace = 6 * (exitMargin + answerMargin)
	// maxEarlySpan is the longest time from the start of the shutdown in which a call counts
	// as early. The platform allows to end such a call in the last sixth of the grace time.
	maxEarlySpan = 3 * time.Second
	// stoppingRetryAfter is the Retry-After of a call that an instance rejects because it
	// stops. Another instance can serve the call at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// stoppingReason is the reason of calls that are rejected or ended by a shutdown.
	stoppingReason = "stopping"
)

// stopPeriod is the time from the start of a shutdown to its end. The process is killed
// after Settings.Grace, so all calls have their answers before that.
type stopPeriod struct {
	start    time.Time
	earlyEnd time.Time // Calls that come later are served only when their deadline is before callsEnd.
	callsEnd time.Time // Calls in flight are ended then; zero means never.
	end      time.Time // The wait for calls ends then; zero means never.
	notice   time.Duration

	accepted, rejected, ended atomic.Int64 // Calls that were accepted, rejected because of the shutdown, or ended by it.
}

// newStopPeriod returns the stopPeriod of a shutdown that begins at now.
func newStopPeriod(now time.Time, notice, grace time.Duration) *stopPeriod {
	if grace <= 0 {
		return &stopPeriod{start: now, notice: notice}
	}
	exit, answer := min(exitMargin, grace/(shortGrace/exitMargin)), min(answerMargin, grace/(shortGrace/answerMargin))
	p := &stopPeriod{start: now, end: now.Add(grace - exit), callsEnd: now.Add(grace - exit - answer)}
	p.notice = max(min(notice, p.callsEnd.Sub(now)), 0)
	p.earlyEnd = now.Add(min(p.notice, maxEarlySpan))
	return p
}

// admitCall decides whether the instance serves c, which has just been accepted. It returns
// a report when it does not, so that the caller can use another instance at once.
//
// Callers cannot know of the shutdown at its start. A call that comes early is served when
// it is likely to end with the shutdown, which then limits its deadline. A later call is
// served only when its deadline lies in the shutdown, so that no such call is broken off.
func (p *stopPeriod) admitCall(c *classifier.Call, now time.Time) *responder.ErrorReport {
	if p == nil {
		return nil
	}
	isCertain := p.callsEnd.IsZero() || !c.Deadline.After(p.callsEnd)
	isLikely := now.Before(p.earlyEnd) && !c.TargetTime.After(p.callsEnd)
	if !isCertain && !isLikely {
		p.rejected.Add(1)
		return &responder.ErrorReport{
			StatusCode: http.StatusServiceUnavailable, Reason: stoppingReason, Detail: "the instance stops before the call could end", RetryAfter: stoppingRetryAfter,
		}
	}
	p.accepted.Add(1)
	if !isCertain {
		c.Deadline = p.callsEnd
	}
	return nil
}

// isShortened reports whether admitCall has shortened the deadline of the call.
func (a *activeCall) isShortened() bool { return a.call.Deadline.Before(a.deadline) }

// recordEndByStop counts and logs a call without a whole answer that the shutdown has ended.
func (a *activeCall) recordEndByStop(ctx context.Context, outcome string) {
	p := a.stopping.Load()
	if p == nil || ctx.Err() == nil || !a.areCallsEnded() && !a.isShortened() {
		return
	}
	p.ended.Add(1)
	if a.log == nil {
		return
	}
	a.log.Warn().Str("id", a.call.RequestID).Str("service", a.call.Service.Name).Str("outcome", outcome).Bool("atwork", outcome != sender.Rejected.String()).
		Dur("after", time.Since(p.start)).Dur("left", time.Until(a.deadline)).Msg("call: ended by the stop")
}

// withCallsEnd returns a context that is cancelled with ctx or when the shutdown ends the
// calls in flight, and a function that releases it.
func (h *callHandler) withCallsEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	if h.callsEnded == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(h.callsEnded, cancel)
	return ctx, func() { stop(); cancel() }
}

// areCallsEnded reports whether the shutdown has ended the calls in flight.
func (h *callHandler) areCallsEnded() bool { return h.callsEnded != nil && h.callsEnded.Err() != nil }
