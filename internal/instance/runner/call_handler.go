package runner

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/deduper"
	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/limiter"
	"sardinelever.example/sardinelever/internal/operator/meter"
	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/router"
)

// slotAcquirer acquires slots; *acquirer.Client implements it.
type slotAcquirer interface {
	Acquire(ctx context.Context, n acquirer.Request) (*acquirer.Slot, error)
}

// callHandler is the HTTP handler for callers. It classifies a call,
// deduplicates it if it has an idempotency key, acquires a slot, sends the call
// to a backend server, copies the response and releases the slot.
type callHandler struct {
	routingTable *router.TableHolder
	slots        slotAcquirer
	deduper      *deduper.Deduper // nil means that identified calls are handled like those without an idempotency key.
	sender       sender.Sender
	retrier      retrier.Retrier[*serverResponse]
	responder    responder.Responder
	bodyLimiter  sender.BodyLimiter
	metrics      *meter.Metrics             // nil means that nothing is counted.
	stopping     atomic.Pointer[stopPeriod] // Set at the start of a shutdown; callers are then told to close their connections after the response.
	inFlight     atomic.Int64               // Calls in flight.
	callsEnded   context.Context            // Done when the shutdown ends the calls in flight; nil means never.
	log          *log.Logger                // nil means that calls are not logged.
	checkPause   func()                     // Detects a pause of the process; called before a call is classified.
	// confirmedAt returns the time at which the configuration was last known to be
	// that of the platform, or the zero time; nil means unknown.
	confirmedAt func() time.Time
	// isConfigCurrent reports whether routingTable holds each configuration that has to
	// be in force; nil means that it does.
	isConfigCurrent func() bool
	// pausedRefusal returns the refusal of calls of a service all of whose servers want
	// no calls for some time, or nil; it may be nil.
	pausedRefusal func(service string) *acquirer.Refusal
	// hedges reports whether calls are hedged although the retries of the fleet have one
	// limit; nil means that they are not.
	hedges func() bool
}

// issueKeyPath is the path at which callers request a new idempotency key for a
// call.
const issueKeyPath = "/sardine/id"

// ServeHTTP serves a request of a caller.
func (h *callHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.deduper != nil && r.URL.Path == issueKeyPath {
		h.deduper.ServeHTTP(w, r)
		return
	}
	h.handleCall(w, r, false)
}

// setDeduper connects d as the deduplicator of identified calls. The owner of d calls
// its Run.
func (h *callHandler) setDeduper(d *deduper.Deduper) {
	d.Handler, d.Responder = http.HandlerFunc(h.serveForwarded), &h.responder
	h.deduper = d
}

// serveForwarded serves a call that another instance forwarded.
func (h *callHandler) serveForwarded(w http.ResponseWriter, r *http.Request) {
	h.handleCall(w, r, true)
}

// handleCall classifies a call and serves it, through the deduper if it must run at
// most once.
func (h *callHandler) handleCall(w http.ResponseWriter, r *http.Request, forwarded bool) {
	if h.checkPause != nil {
		h.checkPause()
	}
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	table := h.routingTable.Load()
	c, report := h.classifyRequest(table, r)
	if report != nil {
		h.recordRefusal(r, table.Version, report)
		h.responder.WriteErrorReport(w, *report)
		return
	}
	// A forwarded call keeps its idempotency key even if the configuration of
	// this instance says that it is idempotent.
	if h.deduper == nil || c.IdempotencyKey == "" || c.Idempotent && !forwarded {
		h.serveCall(w, r, c)
		return
	}
	h.deduper.HandleCall(w, r, c, forwarded, func(w http.ResponseWriter, r *http.Request) (ran bool) { return h.serveCall(w, r, c) })
}

// classifyRequest classifies r by table. If r is rejected, it returns a report with the
// reason instead of a call.
func (h *callHandler) classifyRequest(table *router.RoutingTable, r *http.Request) (*classifier.Call, *responder.ErrorReport) {
	c, err := h.responder.ClassifyRequest(table, r, time.Now())
	switch {
	case err == nil:
	case !table.Configured:
		return nil, &responder.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "starting", Detail: "no configuration is known yet", RetryAfter: configRetryAfter}
	case errors.Is(err, classifier.ErrUnusableRule):
		return nil, &responder.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "rule", Detail: err.Error(), RetryAfter: configRetryAfter}
	case errors.Is(err, classifier.ErrNoService) && table.Partial:
		return nil, &responder.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "rule", Detail: err.Error(), RetryAfter: configRetryAfter}
	case errors.Is(err, classifier.ErrNoService):
		return nil, h.denialReport(table, http.StatusNotFound, "service", err.Error())
	case errors.Is(err, classifier.ErrLargeHeader):
		return nil, h.denialReport(table, http.StatusRequestHeaderFieldsTooLarge, "size", err.Error())
	default:
		return nil, &responder.ErrorReport{StatusCode: http.StatusBadRequest, Reason: "header", Detail: err.Error()}
	}
	if limit := table.Limits.Body; limit > 0 && r.ContentLength > int64(limit) {
		return nil, h.denialReport(table, http.StatusRequestEntityTooLarge, "size", "the body is larger than the configuration allows")
	}
	return c, nil
}

// denialReport returns the report for a request that table does not allow. Callers do not
// repeat such a request, so while a newer configuration could allow it, the report asks
// them to try again.
func (h *callHandler) denialReport(table *router.RoutingTable, statusCode int, reason, detail string) *responder.ErrorReport {
	if h.isConfigCurrent != nil && !h.isConfigCurrent() || h.routingTable.Load() != table {
		return &responder.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "unconfirmed", Detail: detail, RetryAfter: configRetryAfter}
	}
	return &responder.ErrorReport{StatusCode: statusCode, Reason: reason, Detail: detail}
}

// configRetryAfter is the Retry-After of an instance without a current configuration. It
// receives one within milliseconds after the platform or another instance responds.
const configRetryAfter = 200 * time.Millisecond

// serveCall makes the attempts of the call, writes the response or an error report
// to the caller, and returns whether a backend server may have run the call.
func (h *callHandler) serveCall(w http.ResponseWriter, r *http.Request, c *classifier.Call) (ran bool) {
	start, deadline := time.Now(), c.Deadline
	if report := h.stopping.Load().admitCall(c, start); report != nil {
		h.responder.WriteErrorReport(w, *report)
		h.recordCall(&activeCall{callHandler: h, call: c}, sender.Rejected.String(), report, start)
		return false
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	ctx, releaseEnd := h.withCallsEnd(ctx)
	defer releaseEnd()
	release, ok := h.bodyLimiter.Acquire(c.Service.Name, c.Service.Queue.Bytes, bodyMemoryBytes(r))
	if !ok {
		report := memoryReport()
		h.responder.WriteErrorReport(w, report)
		h.recordCall(&activeCall{callHandler: h, call: c}, sender.Rejected.String(), &report, start)
		return false
	}
	defer release()
	holding := limiter.RequestOf(r.Context())
	defer holding.Finish()
	body := &retrier.Body{Source: h.bodySource(r), Hold: holding.Hold}
	callerConn := responder.WatchCallerConn(ctx, w, body)
	defer callerConn.Finish()
	active := &activeCall{callHandler: h, callerConn: callerConn, w: w, r: r, call: c, deadline: deadline, body: body, holding: holding}
	if active.refuseEarly(ctx, start) {
		return false
	}
	response, err := h.retrier.Do(ctx, h.newRetryCall(active))
	callerConn.PrepareResponse()
	if fallback := active.fallback.take(); fallback != nil {
		if err != nil {
			response, err = fallback, nil
		} else {
			fallback.closeAndRelease()
		}
	}
	if err != nil {
		report := h.failureReport(ctx, err)
		h.applyPause(&report, c.Service.Name)
		h.responder.WriteErrorReport(w, report)
		h.recordCall(active, report.Outcome.String(), &report, start)
		active.recordEndByStop(ctx, report.Outcome.String())
		return report.Outcome != sender.Rejected
	}
	defer response.releaseSlot()
	outcome := sender.Failed.String()
	defer func() { // CopyResponse panics when the response is cut off.
		h.recordCall(active, outcome, nil, start)
		if outcome != answeredOutcome {
			active.recordEndByStop(ctx, outcome)
		}
	}()
	failed := response.resp.StatusCode >= http.StatusInternalServerError
	active.bufferAnswer(response, cancel)
	h.responder.CopyResponse(w, r, response.resp)
	if !failed {
		outcome = answeredOutcome
	}
	return true
}

// answeredOutcome is the outcome of a call with a whole response that is not a server error.
const answeredOutcome = "answered"

// recordCall counts and logs a call that was accepted at start and has ended.
func (h *callHandler) recordCall(active *activeCall, outcome string, report *responder.ErrorReport, start time.Time) {
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
	h.metrics.CallSeconds.WithLabelValues(service, rank).Observe(time.Since(start).Seconds())
}

// newRetryCall describes the call for the retrier, and allows a hedge for an
// idempotent call without a body, unless the retries of the fleet have one limit that
// gives hedges no share.
func (h *callHandler) newRetryCall(active *activeCall) *retrier.Call[*serverResponse] {
	c := active.call
	active.hedge = c.Idempotent && active.r.ContentLength == 0 && (h.retrier.Limit == nil || h.hedges != nil && h.hedges())
	target := c.TargetTime
	if target.After(c.Deadline) {
		target = c.Deadline
	}
	return &retrier.Call[*serverResponse]{
		Service: c.Service.Name, Route: c.RouteName, Target: target, Deadline: c.Deadline, Idempotent: c.Idempotent, Urgent: c.Rank == parser.Urgent, Budget: c.RetryBudget,
		CanReplay: active.canReplay, Hedge: active.hedge, OnHedge: active.recordHedge, Try: active.sendAttempt, Discard: (*serverResponse).closeAndRelease,
	}
}

// failureRetryAfter is the Retry-After of a call that failed at a backend server.
// After about the duration of a short call, another server may have a free slot.
const failureRetryAfter = 60 * time.Millisecond

// failureReport returns the report for a call that ended with err and without a
// response.
func (h *callHandler) failureReport(ctx context.Context, err error) responder.ErrorReport {
	report := responder.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "late", RetryAfter: time.Second}
	var f *sender.Failure
	var refusal *acquirer.Refusal
	switch {
	case errors.As(err, &f):
		report.Outcome, report.StatusCode, report.Reason, report.RetryAfter = f.Outcome, f.StatusCode(), f.Reason, failureRetryAfter
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		report.StatusCode, report.Reason = http.StatusGatewayTimeout, "deadline"
	case errors.As(err, &refusal):
		report.Reason, report.RetryAfter, report.Firm = refusal.Reason, refusal.RetryAfter, refusal.Firm
	}
	if ctx.Err() != nil && h.areCallsEnded() {
		report.Reason, report.RetryAfter = stoppingReason, stoppingRetryAfter
	}
	return report
}

// connBufferBytes is the memory that a call with a body uses in addition to the body:
// the read and write buffers of its two connections.
const connBufferBytes = 16 << 10

// bodyMemoryBytes returns the largest memory that the body of r and the buffers of
// its connections use at a time; it is 0 without a body.
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
