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

// acquirer grants slots; *asker.Asker is one.
type acquirer interface {
	Acquire(ctx context.Context, n asker.Request) (*asker.Slot, error)
}

// pipe moves a call through its filters: classify, dedupe, acquire, send,
// answer, release.
type pipe struct {
	maps     *mapper.TableHolder
	asker    acquirer
	deduper  *deduper.Deduper // nil runs identified calls like those without an identity.
	sender   sender.Sender
	retrier  retrier.Retrier[*answer]
	answer   answerer.Answerer
	bytes    sender.BodyLimiter
	meter    *meter.Meter // nil counts nothing.
	stopping atomic.Bool  // Connections of callers are closed after their answers.
	log      *log.Logger  // nil writes no lines of calls.
	check    func()       // Called before the decisions of a call; notices a pause of the process.
}

// identityPath answers with an issued identity.
const identityPath = "/sardine/id"

// ServeHTTP answers a call of a caller.
func (p *pipe) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.deduper != nil && r.URL.Path == identityPath {
		p.deduper.ServeHTTP(w, r)
		return
	}
	p.classify(w, r, false)
}

// identify makes d decide about identified calls; its Run is called by the owner of d.
func (p *pipe) identify(d *deduper.Deduper) {
	d.Handler, d.Answerer = http.HandlerFunc(p.serveForwarded), &p.answer
	p.deduper = d
}

// serveForwarded answers a call that another instance forwarded.
func (p *pipe) serveForwarded(w http.ResponseWriter, r *http.Request) { p.classify(w, r, true) }

func (p *pipe) classify(w http.ResponseWriter, r *http.Request, forwarded bool) {
	if p.check != nil {
		p.check()
	}
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, report := p.match(r)
	if report != nil {
		p.answer.WriteErrorReport(w, *report)
		return
	}
	// A forwarded call stays identified even when the configurations differ.
	if p.deduper == nil || c.IdempotencyKey == "" || c.Idempotent && !forwarded {
		p.run(w, r, c)
		return
	}
	p.deduper.HandleCall(w, r, c, forwarded, func(w http.ResponseWriter, r *http.Request) (ran bool) { return p.run(w, r, c) })
}

// match classifies r; the report says why that is not possible.
func (p *pipe) match(r *http.Request) (*classifier.Call, *answerer.ErrorReport) {
	m := p.maps.Load()
	c, err := p.answer.ClassifyRequest(m, r, time.Now())
	switch {
	case err == nil:
	case m.Version == 0:
		return nil, &answerer.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "starting", Detail: "no configuration is known yet", RetryAfter: startRetry}
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

// startRetry is the Retry-After of an instance that has no configuration yet;
// it reads one within milliseconds once the platform or a peer answers.
const startRetry = 200 * time.Millisecond

// run sends the call, copies the answer or reports the outcome, and returns
// whether the call may have run.
func (p *pipe) run(w http.ResponseWriter, r *http.Request, c *classifier.Call) (ran bool) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	free, ok := p.bytes.Acquire(c.Service.Name, c.Service.Queue.Bytes, bodyBytes(r))
	if !ok {
		report := answerer.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "memory", RetryAfter: time.Second}
		p.answer.WriteErrorReport(w, report)
		p.ended(&attempts{pipe: p, call: c}, sender.Rejected.String(), &report, start)
		return false
	}
	defer free()
	body := &retrier.Body{Source: r.Body}
	g := answerer.WatchCallerConn(ctx, w, body)
	defer g.Finish()
	t := &attempts{pipe: p, guard: g, w: w, r: r, call: c, body: body}
	a, err := p.retrier.Do(ctx, p.order(t))
	g.PrepareResponse()
	if spare := t.spare.Load(); spare != nil {
		if err != nil {
			a, err = spare, nil
		} else {
			spare.drop()
		}
	}
	if err != nil {
		report := p.reportOf(ctx, err)
		p.answer.WriteErrorReport(w, report)
		p.ended(t, report.Outcome.String(), &report, start)
		return report.Outcome != sender.Rejected
	}
	defer a.release()
	outcome := sender.Failed.String()
	defer func() { p.ended(t, outcome, nil, start) }() // Copy panics when the answer is cut off.
	failed := a.resp.StatusCode >= http.StatusInternalServerError
	p.answer.CopyResponse(w, a.resp)
	if !failed {
		outcome = "answered"
	}
	return true
}

// ended counts and logs a call that was accepted at start.
func (p *pipe) ended(t *attempts, outcome string, report *answerer.ErrorReport, start time.Time) {
	p.count(t.call, outcome, start)
	var reason string
	var after time.Duration
	if report != nil {
		reason, after = report.Reason, report.RetryAfter
	}
	t.trace.line(p.log, t.call, p.maps.Load().Version, outcome, reason, after, time.Since(start))
}

// count updates the metrics of a call that was accepted at start.
func (p *pipe) count(c *classifier.Call, outcome string, start time.Time) {
	if p.meter == nil {
		return
	}
	service, rank := c.Service.Name, c.Rank.String()
	p.meter.Calls.WithLabelValues(service, rank, outcome).Inc()
	p.meter.Latency.WithLabelValues(service, rank).Observe(time.Since(start).Seconds())
}

func (p *pipe) order(t *attempts) *retrier.Call[*answer] {
	c := t.call
	t.hedge = c.Idempotent && t.r.ContentLength == 0 && p.retrier.Limit == nil
	return &retrier.Call[*answer]{
		Service: c.Service.Name, Idempotent: c.Idempotent, Urgent: c.Rank == parser.Urgent, Budget: c.RetryBudget,
		CanReplay: t.replay, Hedge: t.hedge, Try: t.try, Discard: (*answer).drop,
	}
}

// failureRetry is the Retry-After of a call that one backend server did not run,
// after which another one may: about the time of a short call.
const failureRetry = 60 * time.Millisecond

// reportOf returns why there is no answer.
func (p *pipe) reportOf(ctx context.Context, err error) answerer.ErrorReport {
	report := answerer.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "late", RetryAfter: time.Second}
	var f *sender.Failure
	var refusal *asker.Refusal
	switch {
	case errors.As(err, &f):
		report.Outcome, report.StatusCode, report.Reason, report.RetryAfter = f.Outcome, f.StatusCode(), f.Reason, failureRetry
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		report.StatusCode, report.Reason = http.StatusGatewayTimeout, "deadline"
	case errors.As(err, &refusal):
		report.Reason, report.RetryAfter = refusal.Reason, refusal.RetryAfter
	}
	return report
}

// callBuffers is what a call with a body holds besides the body, in bytes: the
// read and write buffers of both connections.
const callBuffers = 16 << 10

// bodyBytes returns how many bytes the body of r may occupy here at a time.
func bodyBytes(r *http.Request) int64 {
	switch {
	case r.ContentLength == 0:
		return 0
	case r.ContentLength < 0 || r.ContentLength > retrier.MaxReplayBytes:
		return retrier.MaxReplayBytes + callBuffers
	default:
		return r.ContentLength + callBuffers
	}
}
