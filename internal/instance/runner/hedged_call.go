package runner

import (
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/acquirer"
)

// recordHedge counts an event of the hedge of the call and adds it to the log line.
func (a *activeCall) recordHedge(e retrier.HedgeEvent) {
	a.trace.setHedge(e)
	if a.metrics != nil {
		a.metrics.Hedges.WithLabelValues(a.call.Service.Name, string(e)).Inc()
	}
}

// reportSilent tells the home of slot that the call on it is silent.
func (a *activeCall) reportSilent(slot *acquirer.Slot) {
	slot.ReportSilent()
	if a.metrics != nil {
		a.metrics.SilentCalls.WithLabelValues(a.call.Service.Name).Inc()
	}
}

// isUnknown reports whether err says that a backend server may have run the call.
func isUnknown(err error) bool {
	var f *sender.Failure
	return errors.As(err, &f) && f.Outcome == sender.Unknown
}

// forwardInformational writes an informational response to the caller. Once two attempts
// run at the same time, those of one could mix with the final response of the other.
func (a *activeCall) forwardInformational(status int, h http.Header) {
	a.informationalMu.Lock()
	defer a.informationalMu.Unlock()
	if !a.overlapped {
		responder.WriteInformational(a.w, status, h)
	}
}

// stopInformational makes forwardInformational write nothing any more.
func (a *activeCall) stopInformational() {
	a.informationalMu.Lock()
	defer a.informationalMu.Unlock()
	a.overlapped = true
}

// fallbackHolder holds the response that is used if no attempt succeeds. Attempts that
// were overtaken may still call replace after take.
type fallbackHolder struct {
	mu       sync.Mutex
	response *serverResponse
	taken    bool
}

// replace stores r and returns the response that is no longer used, which is r itself
// after take.
func (f *fallbackHolder) replace(r *serverResponse) (unused *serverResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.taken {
		return r
	}
	unused, f.response = f.response, r
	return unused
}

// take returns the stored response or nil. It is called once.
func (f *fallbackHolder) take() *serverResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken = true
	return f.response
}
