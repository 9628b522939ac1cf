package runner

import (
	"net/http"
	"net/netip"
	"time"

	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/sender"
)

// pausedServers returns the number of backend servers that want no calls now.
func (c *components) pausedServers() int { return c.withholder.PausedServers(time.Now()) }

// mayProbe reports whether the backend server of service at addr takes probes of this
// instance now.
func (c *components) mayProbe(service string, addr netip.AddrPort) bool {
	return !c.withholder.IsWithheld(time.Now(), c.findLifetime(service, addr))
}

// applyPause sets RetryAfter of a rejected call whose service has no backend server that
// takes calls before then. Another instance may serve a call that ended with a shutdown.
func (h *callHandler) applyPause(report *responder.ErrorReport, service string) {
	if h.pausedRefusal == nil || report.Reason == stoppingReason || report.Outcome != sender.Rejected || report.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if r := h.pausedRefusal(service); r != nil {
		report.RetryAfter, report.Firm = r.RetryAfter, r.Firm
	}
}
