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

// attempts makes the attempts of one call.
type attempts struct {
	*pipe
	guard *answerer.CallerConn
	w     http.ResponseWriter
	r     *http.Request
	call  *classifier.Call
	body  *retrier.Body
	hedge bool // Two attempts may run at a time.
	trace trace
	spare atomic.Pointer[answer] // Answer of a failed run that a further attempt may better.
}

// replay reports whether another attempt can send the same body. The trailers
// of a call are read once, so a call that has them is not sent again.
func (t *attempts) replay() bool { return t.body.CanReplay() && len(t.r.Trailer) == 0 }

// try acquires a slot and sends the call once.
func (t *attempts) try(ctx context.Context, a *retrier.Attempt) (*answer, error) {
	c := t.call
	need := asker.Request{Service: c.Service.Name, Rank: c.Rank, Route: c.RouteName, Deadline: c.Deadline, Target: c.TargetTime, Avoid: a.UsedServers()}
	asked := time.Now()
	slot, err := t.asker.Acquire(ctx, need)
	t.trace.asked(time.Since(asked))
	if err != nil {
		return nil, err
	}
	t.attempted(a.Number, time.Since(asked))
	a.AddServer(slot.Server)
	name, known := t.server(slot.Server)
	if !known {
		slot.Release(asker.Result{Busy: -1, Failed: true, Unanswered: true})
		return nil, &sender.Failure{Outcome: sender.Rejected, Reason: "moved", Err: errors.Errorf("no backend server is known at %s", slot.Server)}
	}
	body, ok := t.body.NewReader()
	if !ok {
		slot.Release(asker.Result{Busy: -1})
		return nil, errors.New("the body cannot be sent again")
	}
	o := &sender.Attempt{
		Call: c, Request: t.r, Body: body, Server: slot.Server, ServerName: name, Number: c.Attempt + a.Number - 1,
		RetryBudget: a.Budget, ForwardInformational: t.inform,
		// Only a first attempt that can be hedged may meet a silent connection.
		RequireFreshConn: a.Number > 1 || !t.hedge && t.retrier.Limit == nil, AllowResend: t.hedge,
	}
	if t.hedge {
		o.ForwardInformational = nil // Two attempts must not write to the caller at a time.
	}
	if !t.hedge {
		t.guard.PrepareAttempt()
	}
	resp, err := t.sender.Send(ctx, o)
	t.trace.sent(a.Number, slot, name, time.Since(o.SentAt), resp, err)
	result := t.measure(resp, err, time.Since(o.SentAt))
	if err == nil {
		found := &answer{resp: resp, slot: slot, result: result}
		if !t.betters(a, resp) {
			return found, nil
		}
		slot.Release(result)
		found.slot = nil
		if before := t.spare.Swap(found); before != nil {
			before.drop()
		}
		return nil, &sender.Failure{Outcome: sender.Failed, Reason: "status", Err: errors.Errorf("backend server %s answered %d", name, resp.StatusCode)}
	}
	if resp != nil {
		_ = resp.Body.Close()
	}
	slot.Release(result)
	return nil, err
}

// betters reports whether another attempt may have a better answer than resp: a
// backend server fails calls while others serve them.
func (t *attempts) betters(a *retrier.Attempt, resp *http.Response) bool {
	return t.call.Rule != nil && t.call.Idempotent && a.Budget > 0 && resp.StatusCode >= http.StatusInternalServerError && t.replay()
}

// attempted counts an attempt that waited for its slot.
func (t *attempts) attempted(number int, wait time.Duration) {
	if t.meter == nil {
		return
	}
	kind := "first"
	if number > 1 {
		kind = "again"
	}
	t.meter.Attempts.WithLabelValues(t.call.Service.Name, kind).Inc()
	t.meter.Wait.WithLabelValues(t.call.Service.Name, t.call.Rank.String()).Observe(wait.Seconds())
}

func (t *attempts) inform(status int, h http.Header) { answerer.WriteInformational(t.w, status, h) }

// answer is the answer of a backend server, whose slot is still occupied.
type answer struct {
	resp   *http.Response
	slot   *asker.Slot
	result asker.Result
}

func (a *answer) release() {
	if a.slot != nil {
		a.slot.Release(a.result)
	}
}

// drop cancels the call at the backend server by closing its connection.
func (a *answer) drop() {
	_ = a.resp.Body.Close()
	a.release()
}

// measure returns what an attempt says about the backend server. The latency
// ends with the header of the answer, as the body depends on the caller too.
func (p *pipe) measure(resp *http.Response, err error, latency time.Duration) asker.Result {
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
	signals := p.answer.ParseResponse(resp)
	result.Drain, result.Busy, result.Pace = signals.Draining, signals.CallCount(), signals.Slowdown
	return result
}

// server returns the name of the backend server at addr that may run the call;
// known is false when the call must not be sent there. Without rules any server
// at the address of a slot may run it.
func (t *attempts) server(addr netip.AddrPort) (name string, known bool) {
	if t.call.Rule == nil {
		return "", true
	}
	s := t.maps.Load().Services[t.call.Service.Name]
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
