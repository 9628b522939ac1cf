package deduper

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/fleet/connector"
)

// forwardCall sends the call to the instance that may execute it and copies the
// response to w. Without a response it reports the outcome unknown, even when
// nothing was written to that instance, because an earlier attempt may have run
// there.
func (d *Deduper) forwardCall(w http.ResponseWriter, r *http.Request, c *classifier.Call, decision Decision) {
	peer := decision.PeerAddr
	if !peer.IsValid() {
		var ok bool
		if peer, ok = d.Fleet.PeerAddr(decision.Name); !ok {
			d.reportOutcome(w, sender.Unknown, "place")
			return
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	body := &forwardedBody{ReadCloser: r.Body}
	callerConn := responder.WatchCallerConn(ctx, w, body)
	defer callerConn.Finish()
	callerConn.PrepareAttempt()
	resp, closeConn, err := d.sendRequest(newForwardedRequest(ctx, r, body, peer, c.Deadline))
	defer closeConn()
	callerConn.PrepareResponse()
	switch {
	case err == nil:
		responder.RelayResponse(w, r, resp)
	case ctx.Err() != nil:
		d.reportOutcome(w, sender.Unknown, "deadline")
	default:
		d.reportOutcome(w, sender.Unknown, "place")
	}
}

// sendRequest sends r on a new stream, which closeConn closes. It does not set
// the header Connection: close, because http.Server would then answer before it
// has read the body, and the failed write of the body would hide the response.
func (d *Deduper) sendRequest(r *http.Request) (resp *http.Response, closeConn func(), err error) {
	cc, err := d.transport.NewClientConn(r.Context(), "http", r.URL.Host)
	if err != nil {
		return nil, func() {}, err
	}
	resp, err = cc.RoundTrip(r)
	return resp, func() { _ = cc.Close() }, err
}

// newForwardedRequest returns the request that forwards r with body b to the
// instance at peer, with the time left until deadline in Sardine-Deadline.
func newForwardedRequest(ctx context.Context, r *http.Request, b io.ReadCloser, peer netip.AddrPort, deadline time.Time) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI, out.Close, out.GetBody, out.TransferEncoding = "", false, nil, nil
	out.URL.Scheme, out.URL.Host = "http", peer.String()
	out.Host = r.Host
	out.Body, out.Trailer = b, r.Trailer
	if out.ContentLength == 0 {
		out.Body = http.NoBody
	}
	sender.RemoveHopByHopHeaders(out.Header)
	remaining := max(time.Until(deadline).Milliseconds(), 0)
	out.Header.Set("Sardine-Deadline", strconv.FormatInt(remaining, 10))
	return out
}

// forwardedBody is the body of a forwarded call; it records when its end was
// read.
type forwardedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Ended reports whether the body was read to its end.
func (b *forwardedBody) Ended() bool { return b.ReadCloser == http.NoBody || b.ended.Load() }

// Read reads from the body and records its end.
func (b *forwardedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, err
}

// dialPeer opens a stream to the instance at addr; it is the DialContext of the
// transport.
func (d *Deduper) dialPeer(ctx context.Context, _, addr string) (net.Conn, error) {
	peer, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return d.Fleet.OpenStream(ctx, peer, connector.CallStream)
}
