package runner

import (
	"net/http"
	"time"

	"sardinelever.example/sardinelever/internal/call/responder"
)

// maxLoggedBytes bounds the host and the path in the log line of a refused request.
const maxLoggedBytes = 200

// recordRefusal counts and logs request r, which was refused before it had a service.
// The version is that of the configuration by which it was refused.
func (h *callHandler) recordRefusal(r *http.Request, version uint64, report *responder.ErrorReport) {
	if h.metrics != nil {
		h.metrics.Refusals.WithLabelValues(report.Reason).Inc()
	}
	if h.log == nil {
		return
	}
	e := h.log.Info().Str("id", h.responder.RequestID(r)).Str("reason", report.Reason).Int("status", report.StatusCode).
		Str("host", truncate(r.Host)).Str("path", truncate(r.URL.Path)).Uint64("config", version)
	if h.confirmedAt != nil {
		if at := h.confirmedAt(); !at.IsZero() {
			e = e.Dur("age", time.Since(at))
		}
	}
	e.Msg("call: refused")
}

// truncate returns at most the first maxLoggedBytes bytes of s.
func truncate(s string) string { return s[:min(len(s), maxLoggedBytes)] }
