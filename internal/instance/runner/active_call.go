package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/instance/limiter"
	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// activeCall is a call of a caller in progress; it makes the attempts of the call.
type activeCall struct {
	*callHandler
	callerConn *responder.CallerConn
	w          http.ResponseWriter
	r          *http.Request
	call       *classifier.Call
	deadline   time.Time // Deadline of the call without the limit of a shutdown.
	body       *retrier.Body
	holding    *limiter.Request
	hedge      bool // Two attempts may run at the same time.
	trace      callTrace
	fallback   fallbackHolder // Last response with a server error; it is used if no later attempt succeeds.

	informationalMu sync.Mutex // Held while an informational response is written.
	overlapped      bool       // Two attempts have run at the same time; no informational response is written any more.
}

// canReplay reports whether another attempt can send the same request. Trailers can
// be read only once, so a request that has them is not sent again.
func (a *activeCall) canReplay() bool { return a.body.CanReplay() && len(a.r.Trailer) == 0 }

// sendAttempt makes one attempt. A server that turned out to be withheld before
// anything was sent does not count as an attempt, and the next one is chosen.
func (a *activeCall) sendAttempt(ctx context.Context, attempt *retrier.Attempt) (*serverResponse, error) {
	for {
		response, err := a.sendToServer(ctx, attempt)
		var f *sender.Failure
		if ctx.Err() != nil || !errors.As(err, &f) || f.Outcome != sender.Rejected || !errors.Is(err, sender.ErrWithheld) {
			return response, err
		}
	}
}

// sendToServer acquires a slot and sends the call to its backend server. It keeps a
// response that shouldRetryResponse rejects as the fallback and returns a failure.
func (a *activeCall) sendToServer(ctx context.Context, attempt *retrier.Attempt) (*serverResponse, error) {
	c := a.call
	req := acquirer.Request{Service: c.Service.Name, Rank: c.Rank, Route: c.RouteName, Deadline: c.Deadline, Target: c.TargetTime, Avoid: attempt.UsedServers(), Hedge: attempt.Hedge}
	start := time.Now()
	slot, err := a.slots.Acquire(ctx, req)
	a.trace.addWait(time.Since(start))
	if err != nil {
		return nil, err
	}
	if slot.IsLate(time.Now()) {
		slot.Abandon()
		return nil, &sender.Failure{Outcome: sender.Rejected, Reason: "withheld", Err: sender.ErrWithheld}
	}
	a.holding.Protect()
	a.countAttempt(attempt.Number, time.Since(start))
	attempt.AddServer(slot.Server)
	server := a.findServer(slot)
	if server == nil {
		slot.Release(acquirer.Result{ReportedCalls: -1, Failed: true, Unanswered: true})
		return nil, &sender.Failure{Outcome: sender.Rejected, Reason: "moved", Err: errors.Errorf("no backend server is known at %s", slot.Server)}
	}
	body, ok := a.body.NewReader()
	if !ok {
		slot.Release(acquirer.Result{ReportedCalls: -1})
		return nil, errors.New("the body cannot be sent again")
	}
	name := a.expectedName(server)
	outgoing := &sender.Attempt{
		Call: c, Request: a.r, Body: body, Server: slot.Server, Lifetime: withholder.LifetimeOf(server), Zone: server.Zone, ServerName: name, Number: c.Attempt + attempt.Number - 1,
		RetryBudget: attempt.Budget, ForwardInformational: a.forwardInformational,
		// Only the first attempt of a call that can be hedged may use a connection
		// that has been idle for long and could be dead.
		RequireFreshConn: attempt.Number > 1 || !a.hedge && a.retrier.Limit == nil,
		// A resend would not count against the limit of the fleet, and a slot of a cold
		// server is for one send.
		AllowResend: a.hedge && a.retrier.Limit == nil && slot.SendBy.IsZero(),
		SendBy:      slot.SendBy,
	}
	if a.hedge && a.retrier.Limit == nil || !a.r.ProtoAtLeast(1, 1) {
		// Two attempts must not write to the caller at the same time, and for HTTP/1.0
		// the first response is the final one (RFC 9110 section 15.2).
		outgoing.ForwardInformational = nil
	}
	if !a.hedge {
		a.callerConn.PrepareAttempt()
	}
	if attempt.Overlaps {
		a.stopInformational()
	}
	attempt.MarkSent(slot.Slowdown, func() { a.reportSilent(slot) })
	resp, err := a.sender.Send(ctx, outgoing)
	a.trace.addAttempt(attempt.Number, slot, name, time.Since(outgoing.SentAt), resp, err)
	result := a.attemptResult(resp, err, time.Since(outgoing.SentAt))
	result.Silent = isUnknown(err) && resp == nil && attempt.IsSilent(result.Latency)
	if err == nil {
		response := &serverResponse{resp: resp, slot: slot, result: result, requestBytes: a.body.ReceivedBytes, responseBytes: responseBytes(a.r, resp)}
		if !a.shouldRetryResponse(attempt, resp) {
			return response, nil
		}
		slot.Release(result)
		response.slot = nil
		if unused := a.fallback.replace(response); unused != nil {
			unused.closeAndRelease()
		}
		return nil, &sender.Failure{Outcome: sender.Failed, Reason: "status", Err: errors.Errorf("backend server %s answered %d", name, resp.StatusCode)}
	}
	if resp != nil {
		_ = resp.Body.Close()
	}
	if errors.Is(err, sender.ErrWithheld) {
		slot.Abandon()
	} else {
		slot.Release(result)
	}
	return nil, err
}

// shouldRetryResponse reports whether the call should be retried although it has the
// response resp. One backend server can fail calls that others serve, so a call that
// matches a rule is retried after a server error. The server error of an attempt that
// overlaps another one is not the answer while that may still succeed.
func (a *activeCall) shouldRetryResponse(attempt *retrier.Attempt, resp *http.Response) bool {
	return a.call.Idempotent && (a.call.Rule != nil && attempt.Budget > 0 || attempt.Overlaps) && resp.StatusCode >= http.StatusInternalServerError && a.canReplay()
}

// countAttempt counts an attempt that got a slot after wait.
func (a *activeCall) countAttempt(number int, wait time.Duration) {
	if a.metrics == nil {
		return
	}
	kind := "first"
	if number > 1 {
		kind = "again"
	}
	a.metrics.Attempts.WithLabelValues(a.call.Service.Name, kind).Inc()
	a.metrics.SlotWaitSeconds.WithLabelValues(a.call.Service.Name, a.call.Rank.String()).Observe(wait.Seconds())
}

// serverResponse is the response of a backend server. The call occupies slot until the
// body has been read; slot is nil when it was released before.
type serverResponse struct {
	resp   *http.Response
	slot   *acquirer.Slot
	result acquirer.Result

	requestBytes, responseBytes func() int64 // Bytes of the bodies so far.
}

func (s *serverResponse) releaseSlot() {
	if s.slot != nil {
		s.slot.RecordBytes(s.requestBytes() + s.responseBytes())
		s.slot.Release(s.result)
	}
}

// closeAndRelease closes the body, which cancels the call at the backend server if it
// still runs, and releases the slot.
func (s *serverResponse) closeAndRelease() {
	_ = s.resp.Body.Close()
	s.releaseSlot()
}

// attemptResult returns the result of an attempt for the state of the backend server.
// The latency ends with the header of the response, because the time of the body also
// depends on how fast the caller reads.
func (h *callHandler) attemptResult(resp *http.Response, err error, latency time.Duration) acquirer.Result {
	result := acquirer.Result{Latency: latency, ReportedCalls: -1}
	var f *sender.Failure
	if errors.As(err, &f) {
		result.Refused = f.Reason == "refused"
		// A cancelled attempt is not a failure of the backend server, and neither is
		// a deadline that passed before anything was sent.
		result.Unanswered = resp == nil
		result.Failed = !result.Refused && f.Reason != "gone" && (f.Outcome == sender.Unknown || f.Reason == "connect")
	}
	if resp == nil {
		return result
	}
	if f != nil && f.Reason == sender.MovedReason {
		result.Failed = true
		return result // The headers are those of another backend server.
	}
	result.Failed = result.Failed || err == nil && resp.StatusCode >= http.StatusInternalServerError
	signals := h.responder.ParseResponse(resp)
	result.Drain, result.ReportedCalls, result.Slowdown = signals.Draining, signals.ReportedCalls(), signals.Slowdown
	return result
}

// findServer returns the backend server of the call's service that slot names or, if it
// names none, the one at its address, preferably one that is not leaving. It is nil when the service no longer has a server there, so that
// the call must not be sent. A call that matches no rule (Call.Rule) may run on any
// server at addr, also on one that is no longer listed.
func (a *activeCall) findServer(slot *acquirer.Slot) *router.BackendServer {
	table, service := a.routingTable.Load(), a.call.Service.Name
	if l := slot.Lifetime; l.Name != "" {
		if b := table.FindProcess(service, l.Name, l.ProcessStart); b != nil {
			return b
		}
	}
	if b := table.FindServer(service, slot.Server); b != nil || a.call.Rule != nil {
		return b
	}
	return &router.BackendServer{Address: slot.Server}
}

// expectedName returns the name of the only backend server that may run the call, or ""
// when the call matches no rule, so that any server at its address may.
func (a *activeCall) expectedName(b *router.BackendServer) string {
	if a.call.Rule == nil {
		return ""
	}
	return b.Name
}
