package runner

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/answerer"
	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/asker"
)

// activeCall makes the attempts of one call.
type activeCall struct {
	*callHandler
	callerConn *answerer.CallerConn
	w          http.ResponseWriter
	r          *http.Request
	call       *classifier.Call
	body       *retrier.Body
	hedge      bool // Two attempts may run at a time.
	trace      callTrace
	fallback   atomic.Pointer[serverResponse] // Answer of a failed run that a further attempt may better.
}

// canReplay reports whether another attempt can send the same body. The trailers
// of a call are read once, so a call that has them is not sent again.
func (a *activeCall) canReplay() bool { return a.body.CanReplay() && len(a.r.Trailer) == 0 }

// sendAttempt acquires a slot and sends the call once.
func (a *activeCall) sendAttempt(ctx context.Context, attempt *retrier.Attempt) (*serverResponse, error) {
	c := a.call
	req := asker.Request{Service: c.Service.Name, Rank: c.Rank, Route: c.RouteName, Deadline: c.Deadline, Target: c.TargetTime, Avoid: attempt.UsedServers()}
	start := time.Now()
	slot, err := a.slots.Acquire(ctx, req)
	a.trace.addWait(time.Since(start))
	if err != nil {
		return nil, err
	}
	a.countAttempt(attempt.Number, time.Since(start))
	attempt.AddServer(slot.Server)
	name, known := a.findServer(slot.Server)
	if !known {
		slot.Release(asker.Result{Busy: -1, Failed: true, Unanswered: true})
		return nil, &sender.Failure{Outcome: sender.Rejected, Reason: "moved", Err: errors.Errorf("no backend server is known at %s", slot.Server)}
	}
	body, ok := a.body.NewReader()
	if !ok {
		slot.Release(asker.Result{Busy: -1})
		return nil, errors.New("the body cannot be sent again")
	}
	outgoing := &sender.Attempt{
		Call: c, Request: a.r, Body: body, Server: slot.Server, ServerName: name, Number: c.Attempt + attempt.Number - 1,
		RetryBudget: attempt.Budget, ForwardInformational: a.forwardInformational,
		// Only a first attempt that can be hedged may meet a silent connection.
		RequireFreshConn: attempt.Number > 1 || !a.hedge && a.retrier.Limit == nil, AllowResend: a.hedge,
	}
	if a.hedge {
		outgoing.ForwardInformational = nil // Two attempts must not write to the caller at a time.
	}
	if !a.hedge {
		a.callerConn.PrepareAttempt()
	}
	resp, err := a.sender.Send(ctx, outgoing)
	a.trace.addAttempt(attempt.Number, slot, name, time.Since(outgoing.SentAt), resp, err)
	result := a.attemptResult(resp, err, time.Since(outgoing.SentAt))
	if err == nil {
		response := &serverResponse{resp: resp, slot: slot, result: result}
		if !a.shouldRetryResponse(attempt, resp) {
			return response, nil
		}
		slot.Release(result)
		response.slot = nil
		if previous := a.fallback.Swap(response); previous != nil {
			previous.closeAndRelease()
		}
		return nil, &sender.Failure{Outcome: sender.Failed, Reason: "status", Err: errors.Errorf("backend server %s answered %d", name, resp.StatusCode)}
	}
	if resp != nil {
		_ = resp.Body.Close()
	}
	slot.Release(result)
	return nil, err
}

// shouldRetryResponse reports whether another attempt may have a better answer than resp: a
// backend server fails calls while others serve them.
func (a *activeCall) shouldRetryResponse(attempt *retrier.Attempt, resp *http.Response) bool {
	return a.call.Rule != nil && a.call.Idempotent && attempt.Budget > 0 && resp.StatusCode >= http.StatusInternalServerError && a.canReplay()
}

// countAttempt counts an attempt that waited for its slot.
func (a *activeCall) countAttempt(number int, wait time.Duration) {
	if a.metrics == nil {
		return
	}
	kind := "first"
	if number > 1 {
		kind = "again"
	}
	a.metrics.Attempts.WithLabelValues(a.call.Service.Name, kind).Inc()
	a.metrics.Wait.WithLabelValues(a.call.Service.Name, a.call.Rank.String()).Observe(wait.Seconds())
}

func (a *activeCall) forwardInformational(status int, h http.Header) {
	answerer.WriteInformational(a.w, status, h)
}

// serverResponse is the answer of a backend server, whose slot is still occupied.
type serverResponse struct {
	resp   *http.Response
	slot   *asker.Slot
	result asker.Result
}

func (s *serverResponse) releaseSlot() {
	if s.slot != nil {
		s.slot.Release(s.result)
	}
}

// closeAndRelease cancels the call at the backend server by closing its connection.
func (s *serverResponse) closeAndRelease() {
	_ = s.resp.Body.Close()
	s.releaseSlot()
}

// attemptResult returns what an attempt says about the backend server. The latency
// ends with the header of the answer, as the body depends on the caller too.
func (h *callHandler) attemptResult(resp *http.Response, err error, latency time.Duration) asker.Result {
	result := asker.Result{Latency: latency, Busy: -1}
	var f *sender.Failure
	if errors.As(err, &f) {
		result.Refused = f.Reason == "refused"
		// A cancelled attempt is no fault of the backend server, nor is a
		// deadline that passed before anything was sent.
		result.Unanswered = resp == nil
		result.Failed = !result.Refused && f.Reason != "gone" && (f.Outcome == sender.Unknown || f.Reason == "connect")
	}
	if resp == nil {
		return result
	}
	result.Failed = result.Failed || err == nil && resp.StatusCode >= http.StatusInternalServerError
	signals := h.answerer.ParseResponse(resp)
	result.Drain, result.Busy, result.Pace = signals.Draining, signals.CallCount(), signals.Slowdown
	return result
}

// findServer returns the name of the backend server at addr that may run the call;
// known is false when the call must not be sent there. Without rules any server
// at the address of a slot may run it.
func (a *activeCall) findServer(addr netip.AddrPort) (name string, known bool) {
	if a.call.Rule == nil {
		return "", true
	}
	s := a.routingTable.Load().Services[a.call.Service.Name]
	if s == nil {
		return "", false
	}
	for i := range s.Servers {
		if s.Servers[i].Address == addr {
			return s.Servers[i].Name, true
		}
	}
	return "", false
}
