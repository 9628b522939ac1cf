package runner

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/instance/limiter"
	"sardinelever.example/sardinelever/internal/operator/meter"
)

// initLimiter sets the limits of the machine.
func (c *components) initLimiter() {
	c.limiter.Memory, c.limiter.Descriptors, c.limiter.Log = int64(float64(c.settings.Memory)*(1<<20)), int(c.settings.Descriptors), c.log
	meter.RegisterHeldBytes(c.metricsRegistry, c.limiter.Held)
	for r, name := range limiter.Reasons {
		meter.RegisterClosedConns(c.metricsRegistry, name, func() uint64 { return c.limiter.ClosedCount(limiter.Reason(r)) })
	}
}

// limitServers makes the servers for callers and operators account for their connections.
func (c *components) limitServers(s *httpServers) {
	c.limiter.ConfigureServer(s.callers, http.HandlerFunc(c.handler.refuseForMemory))
	refuse := http.HandlerFunc(refuseOperator)
	s.operator.Handler = c.limiter.Concurrent(s.operator.Handler, maxOperatorRequests, "/ready", refuse)
	c.limiter.ConfigureServer(s.operator, refuse)
}

func (c *components) limitPeers(l net.Listener) net.Listener {
	return c.limiter.Listen(l, limiter.Peers)
}

// maxOperatorRequests is the largest number of requests of operators that are answered at a
// time. One for metrics uses about 100 KB, and operators send a few at a time.
const maxOperatorRequests = 16

// memoryRetryAfter is the Retry-After of a request that would exceed the memory.
const memoryRetryAfter = time.Second

// memoryReport is the report for a request that would exceed the memory. It was not run.
func memoryReport() responder.ErrorReport {
	return responder.ErrorReport{StatusCode: http.StatusServiceUnavailable, Reason: "memory", RetryAfter: memoryRetryAfter}
}

// refuseForMemory refuses a request that would exceed the memory.
func (h *callHandler) refuseForMemory(w http.ResponseWriter, r *http.Request) {
	report := memoryReport()
	h.recordRefusal(r, h.routingTable.Load().Version, &report)
	h.responder.WriteErrorReport(w, report)
}

func refuseOperator(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "memory", http.StatusServiceUnavailable)
}

type limitsSection struct{ *components }

// WriteStatus writes what the connections of callers and operators hold and how many were
// closed or refused, if there are limits.
func (s limitsSection) WriteStatus(w io.Writer) {
	l := &s.limiter
	if l.Memory == 0 && l.Descriptors == 0 {
		return
	}
	_, _ = fmt.Fprintf(w, "limits\theld=%d\tbudget=%d\tconns=%d", l.Held(), l.Budget(), l.ConnCount())
	for r, name := range limiter.Reasons {
		_, _ = fmt.Fprintf(w, "\t%s=%d", name, l.ClosedCount(limiter.Reason(r)))
	}
	_, _ = fmt.Fprintln(w)
}
