package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/answerer"
	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/deduper"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/meter"
	"sardinelever.example/sardinelever/internal/route/asker"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// slotAcquirer grants slots; *asker.Asker is one.
type slotAcquirer interface {
	Acquire(ctx context.Context, n asker.Request) (*asker.Slot, error)
}

// callHandler moves a call through its filters: classify, dedupe, acquire, send,
// answer, release.
type callHandler struct {
	routingTable *mapper.TableHolder
	slots        slotAcquirer
	deduper      *deduper.Deduper // nil runs identified calls like those without an identity.
	sender       sender.Sender
	retrier      retrier.Retrier[*serverResponse]
	answerer     answerer.Answerer
	bodyLimiter  sender.BodyLimiter
	metrics      *meter.Meter // nil counts nothing.
	stopping     atomic.Bool  // Connections of callers are closed after their answers.
	log          *log.Logger  // nil writes no lines of calls.
	checkPause   func()       // Called before the decisions of a call; notices a pause of the process.
}

// identityPath answers with an issued identity.
const identityPath = "/sardine/id"

// ServeHTTP answers a call of a caller.
func (h *callHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.deduper != nil && r.URL.Path == identityPath {
		h.deduper.ServeHTTP(w, r)
		return
	}
	h.handleCall(w, r, false)
}

// setDeduper makes d decide about identified calls; its Run is called by the owner of d.
func (h *callHandler) setDeduper(d *deduper.Deduper) {
	d.Handler, d.Answerer = http.HandlerFunc(h.serveForwarded), &h.answerer
	h.deduper = d
}

// serveForwarded answers a call that another instance forwarded.
func (h *callHandler) serveForwarded(w http.ResponseWriter, r *http.Request) {
	h.handleCall(w, r, true)
}

func (h *callHandler) handleCall(w http.ResponseWriter, r *http.Request, forwarded bool) {
	if h.checkPause != nil {
		h.checkPause()
	}
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, report := h.classifyRequest(r)
	if report != nil {
		h.answerer.WriteErrorReport(w, *report)
		return
	}
	// A forwarded call stays identified even when the configurations differ.
	if h.deduper == nil || c.IdempotencyKey == "" || c.Idempotent && !forwarded {
		h.serveCall(w, r, c)
		return
	}
	h.deduper.HandleCall(w, r, c, forwarded, func(w http.ResponseWriter, r *http.Request) (ran bool) { return h.serveCall(w, r, c) })
}

// classifyRequest classifies r; the report says why that is not possible.
func (h *callHandler) classifyRequest(r *http.Request) (*classifier.Call, *answerer.ErrorReport) {
	m := h.routingTable.Load()
	c, err := h.answerer.ClassifyRequest(m, r, time.Now())
	switch {
	case err == nil:
	case m.Version == 0:
		return nil, &answerer.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "starting", Detail: "no configuration is known yet", RetryAfter: startupRetryAfter}
	case errors.Is(err, classifier.ErrNoService):
		return nil, &answerer.ErrorReport{StatusCode: http.StatusNotFound, Reason: "service", Detail: err.Error()}
	default:
		return nil, &answerer.ErrorReport{StatusCode: http.StatusBadRequest, Reason: "header", Detail: err.Error()}
	}
	if limit := m.Limits.Body; err == nil && limit > 0 && r.ContentLength > int64(limit) {
		return nil, &answerer.ErrorReport{StatusCode: http.StatusRequestEntityTooLarge, Reason: "size", Detail: "the body is larger than the configuration allows"}
	}
	return c, nil
}

// startupRetryAfter is the Retry-After of an instance that has no configuration yet;
// it reads one within milliseconds once the platform or a peer answers.
const startupRetryAfter = 200 * time.Millisecond

// serveCall sends the call, copies the answer or reports the outcome, and returns
// whether the call may have run.
func (h *callHandler) serveCall(w http.ResponseWriter, r *http.Request, c *classifier.Call) (ran bool) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	release, ok := h.bodyLimiter.Acquire(c.Service.Name, c.Service.Queue.Bytes, bodyMemoryBytes(r))
	if !ok {
		report := answerer.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "memory", RetryAfter: time.Second}
		h.answerer.WriteErrorReport(w, report)
		h.recordCall(&activeCall{callHandler: h, call: c}, sender.Rejected.String(), &report, start)
		return false
	}
	defer release()
	body := &retrier.Body{Source: r.Body}
	callerConn := answerer.WatchCallerConn(ctx, w, body)
	defer callerConn.Finish()
	active := &activeCall{callHandler: h, callerConn: callerConn, w: w, r: r, call: c, body: body}
	response, err := h.retrier.Do(ctx, h.newRetryCall(active))
	callerConn.PrepareResponse()
	if fallback := active.fallback.Load(); fallback != nil {
		if err != nil {
			response, err = fallback, nil
		} else {
			fallback.closeAndRelease()
		}
	}
	if err != nil {
		report := h.failureReport(ctx, err)
		h.answerer.WriteErrorReport(w, report)
		h.recordCall(active, report.Outcome.String(), &report, start)
		return report.Outcome != sender.Rejected
	}
	defer response.releaseSlot()
	outcome := sender.Failed.String()
	defer func() { h.recordCall(active, outcome, nil, start) }() // Copy panics when the answer is cut off.
	failed := response.resp.StatusCode >= http.StatusInternalServerError
	h.answerer.CopyResponse(w, response.resp)
	if !failed {
		outcome = "answered"
	}
	return true
}

// recordCall counts and logs a call that was accepted at start.
func (h *callHandler) recordCall(active *activeCall, outcome string, report *answerer.ErrorReport, start time.Time) {
	h.countCall(active.call, outcome, start)
	var reason string
	var retryAfter time.Duration
	if report != nil {
		reason, retryAfter = report.Reason, report.RetryAfter
	}
	active.trace.writeLog(h.log, active.call, h.routingTable.Load().Version, outcome, reason, retryAfter, time.Since(start))
}

// countCall updates the metrics of a call that was accepted at start.
func (h *callHandler) countCall(c *classifier.Call, outcome string, start time.Time) {
	if h.metrics == nil {
		return
	}
	service, rank := c.Service.Name, c.Rank.String()
	h.metrics.Calls.WithLabelValues(service, rank, outcome).Inc()
	h.metrics.Latency.WithLabelValues(service, rank).Observe(time.Since(start).Seconds())
}

func (h *callHandler) newRetryCall(active *activeCall) *retrier.Call[*serverResponse] {
	c := active.call
	active.hedge = c.Idempotent && active.r.ContentLength == 0 && h.retrier.Limit == nil
	return &retrier.Call[*serverResponse]{
		Service: c.Service.Name, Idempotent: c.Idempotent, Urgent: c.Rank == parser.Urgent, Budget: c.RetryBudget,
		CanReplay: active.canReplay, Hedge: active.hedge, Try: active.sendAttempt, Discard: (*serverResponse).closeAndRelease,
	}
}

// failureRetryAfter is the Retry-After of a call that one backend server did not run,
// after which another one may: about the time of a short call.
const failureRetryAfter = 60 * time.Millisecond

// failureReport returns why there is no answer.
func (h *callHandler) failureReport(ctx context.Context, err error) answerer.ErrorReport {
	report := answerer.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "late", RetryAfter: time.Second}
	var f *sender.Failure
	var refusal *asker.Refusal
	switch {
	case errors.As(err, &f):
		report.Outcome, report.StatusCode, report.Reason, report.RetryAfter = f.Outcome, f.StatusCode(), f.Reason, failureRetryAfter
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		report.StatusCode, report.Reason = http.StatusGatewayTimeout, "deadline"
	case errors.As(err, &refusal):
		report.Reason, report.RetryAfter = refusal.Reason, refusal.RetryAfter
	}
	return report
}

// connBufferBytes is what a call with a body holds besides the body, in bytes: the
// read and write buffers of both connections.
const connBufferBytes = 16 << 10

// bodyMemoryBytes returns how many bytes the body of r may occupy here at a time.
func bodyMemoryBytes(r *http.Request) int64 {
	switch {
	case r.ContentLength == 0:
		return 0
	case r.ContentLength < 0 || r.ContentLength > retrier.MaxReplayBytes:
		return retrier.MaxReplayBytes + connBufferBytes
	default:
		return r.ContentLength + connBufferBytes
	}
}
