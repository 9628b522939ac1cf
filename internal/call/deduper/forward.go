package deduper

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/call/answerer"
	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/fleet/linker"
)

// forward sends the call to the instance that may run it and copies its
// answer. Without an answer the outcome is unknown even when nothing was
// written, because an earlier attempt may have run there.
func (d *Deduper) forward(w http.ResponseWriter, r *http.Request, c *classifier.Call, to Decision) {
	peer := to.Peer
	if !peer.IsValid() {
		var ok bool
		if peer, ok = d.Fleet.Peer(to.Name); !ok {
			d.report(w, sender.Unknown, "place")
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	resp, err := d.http.RoundTrip(forwarded(ctx, r, peer, c.Deadline))
	switch {
	case err == nil:
		answerer.Relay(w, resp)
	case ctx.Err() != nil:
		d.report(w, sender.Unknown, "deadline")
	default:
		d.report(w, sender.Unknown, "place")
	}
}

func forwarded(ctx context.Context, r *http.Request, peer netip.AddrPort, deadline time.Time) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI, out.Close, out.GetBody, out.TransferEncoding = "", false, nil, nil
	out.URL.Scheme, out.URL.Host = "http", peer.String()
	out.Host = r.Host
	out.Trailer = r.Trailer
	if out.ContentLength == 0 {
		out.Body = http.NoBody
	}
	sender.StripHop(out.Header)
	left := max(time.Until(deadline).Milliseconds(), 0)
	out.Header.Set("Sardine-Deadline", strconv.FormatInt(left, 10))
	return out
}

func (d *Deduper) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	peer, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return d.Fleet.Open(ctx, peer, linker.Call)
}
