package runner

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/route/balancer"
)

// initZones makes the homes on this instance report their load and the entry divide
// calls between zones, if the settings have a price.
func (c *components) initZones() {
	c.slotClient.Metrics = c.metrics
	if price := c.settings.Zones.Price.AsDuration(); price > 0 {
		c.allocator.ReportLoad, c.slotClient.UseBalancer = c.usesBulkSettings, c.usesBulkSettings
		c.slotClient.Balancer = &balancer.Balancer{Zone: c.settings.Zone, Price: price, Audit: &c.audit}
	}
}

type zoneSection struct{ *components }

// WriteStatus writes a line for each route of a service: the mean bytes of its calls and
// the shares of the pools in other zones.
func (s zoneSection) WriteStatus(w io.Writer) {
	if s.slotClient.Balancer == nil || !s.usesBulkSettings() {
		return
	}
	for _, r := range s.slotClient.Balancer.RouteStatuses(time.Now()) {
		shares := make([]string, 0, len(r.Shares))
		for _, p := range r.Shares {
			shares = append(shares, fmt.Sprintf("%s:%.2f", p.Pool, p.Share))
		}
		if len(shares) == 0 {
			shares = append(shares, "none")
		}
		_, _ = fmt.Fprintf(w, "zones\t%s\t%s\tbytes=%d\tshares=%s\n", r.Service, cmp.Or(r.Route, "-"), r.Bytes, strings.Join(shares, ","))
	}
}

// countedBody counts the bytes of a body of unknown length as it is read.
type countedBody struct {
	io.ReadCloser
	count atomic.Int64
}

func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count.Add(int64(n))
	return n, err
}

// responseBytes returns a function that returns the bytes of the body of resp, which it
// counts while the body is read if their number is not known.
func responseBytes(r *http.Request, resp *http.Response) func() int64 {
	switch {
	case r.Method == http.MethodHead || resp.StatusCode == http.StatusSwitchingProtocols:
		return func() int64 { return 0 }
	case resp.ContentLength >= 0:
		return func() int64 { return resp.ContentLength }
	}
	b := &countedBody{ReadCloser: resp.Body}
	resp.Body = b
	return b.count.Load
}
