package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/answerer"
	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/asker"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// pipe moves a call through its filters.
type pipe struct {
	maps   *mapper.Holder
	asker  *asker.Asker
	sender sender.Sender
	answer answerer.Answerer
}

// ServeHTTP classifies a call, acquires a slot, sends the call and answers.
func (p *pipe) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := classifier.Classify(p.maps.Load(), r, time.Now())
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, classifier.ErrService) {
			status = http.StatusNotFound
		}
		p.answer.Report(w, answerer.Report{Status: status, Reason: "header", Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	slot, err := p.asker.Acquire(ctx, asker.Need{Service: c.Service.Name, Rank: c.Rank, Deadline: c.Deadline})
	if err != nil {
		var f *asker.Refusal
		if !errors.As(err, &f) {
			f = &asker.Refusal{Reason: "late"}
		}
		p.answer.Report(w, answerer.Report{Status: http.StatusServiceUnavailable, Reason: f.Reason, After: f.After})
		return
	}
	p.send(ctx, w, r, c, slot)
}

func (p *pipe) send(ctx context.Context, w http.ResponseWriter, r *http.Request, c *classifier.Call, slot *asker.Slot) {
	start := time.Now()
	resp, err := p.sender.Send(ctx, &sender.Order{Call: c, Request: r, Body: r.Body, Server: slot.Server, Attempt: 1, Budget: c.Budget})
	result := asker.Result{Failed: err != nil, Busy: -1}
	defer func() {
		result.Latency = time.Since(start)
		slot.Release(result)
	}()
	if err == nil {
		p.answer.Copy(w, resp)
		return
	}
	if resp != nil {
		_ = resp.Body.Close()
	}
	var f *sender.Failure
	if !errors.As(err, &f) {
		f = &sender.Failure{Outcome: sender.Unknown, Reason: "read"}
	}
	p.answer.Report(w, answerer.Report{Outcome: f.Outcome, Status: f.Status(), Reason: f.Reason, After: time.Second})
}
