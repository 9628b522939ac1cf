package prober

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// maxResponseBytes bounds the number of bytes read of a response.
const maxResponseBytes = 64 << 10

// probeOutcome is the outcome of an assignment.
type probeOutcome struct {
	result    Result
	probeTime time.Duration // Time that the assignment took from the backend server; 0 when no connection was opened.
	skipped   bool          // No probe was sent, so nothing is known about the server.
}

// probeServer opens a connection before the send time and sends one request at
// the send time. It writes the request to the connection itself, because
// net/http.Transport may retry a GET on another connection.
func (p *Prober) probeServer(ctx context.Context, a Assignment) probeOutcome {
	failed := probeOutcome{result: Result{Service: a.Service, Server: a.Server, ReportedCalls: -1, ReportedSlots: -1, Failed: true}}
	dialCtx, cancel := context.WithDeadline(ctx, a.SendTime.Add(SendTolerance(a.Probe)))
	defer cancel()
	var lifetime withholder.Lifetime
	if p.FindLifetime != nil {
		lifetime = p.FindLifetime(a.Service, a.Server)
	}
	conn, err := p.Dial(dialCtx, a.Server)
	if err != nil {
		return failed
	}
	defer func() { _ = conn.Close() }()
	skipped := probeOutcome{skipped: true, probeTime: a.Probe.Cost.AsDuration()} // Opening a connection also costs the backend server time.
	// The wall clock may be adjusted during a sleep, so it is read again after each sleep.
	for wait := time.Until(a.SendTime); wait > 0; wait = time.Until(a.SendTime) {
		if !sleeper.Sleep(ctx, wait) {
			return skipped
		}
	}
	req, err := newProbeRequest(a)
	if err != nil {
		p.Log.Error().Err(err).Msg("route: cannot build the probe request")
		return skipped
	}
	if p.MayProbe != nil && !p.MayProbe(a.Service, a.Server) {
		return skipped
	}
	start := time.Now()
	if !p.planner.ConfirmSend(a, start) {
		return skipped
	}
	p.sentCount.Add(1)
	_ = conn.SetDeadline(start.Add(ProbeTimeout(a.Probe)))
	resp, err := roundTrip(conn, req)
	took := time.Since(start)
	failed.result.Age, failed.probeTime = took, took
	if err != nil {
		return failed
	}
	var metadata translator.ResponseMetadata
	metadata.ParseRetryAfter(resp.StatusCode, resp.Header.Get("Retry-After"))
	result := Result{
		Pause: metadata.RetryAfter, InvalidPause: metadata.InvalidRetryAfter,
		Service: a.Service, Server: a.Server, Age: took, Latency: took,
		Failed: resp.StatusCode/100 != 2, Drain: resp.Header.Get("Sardine-Drain") == "1", Leaving: resp.Header.Get("Sardine-Leaving") == "1",
		Lifetime: lifetime,
	}
	result.ReportedCalls, result.ReportedSlots = parseLoad(resp.Header.Get("Sardine-Load"))
	return probeOutcome{result: result, probeTime: took}
}

// newProbeRequest returns a GET request to the load endpoint that closes its connection.
func newProbeRequest(a Assignment) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+a.Server.String()+a.Probe.Path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s: invalid probe path %q", a.Service, a.Probe.Path)
	}
	req.Close = true
	return req, nil
}

// roundTrip sends req and reads the response, of which at most maxResponseBytes. The body is discarded.
func roundTrip(conn net.Conn, req *http.Request) (*http.Response, error) {
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "cannot send the probe request")
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxResponseBytes)), req)
	if err != nil {
		return nil, errors.Wrap(err, "cannot read the probe response header")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp, errors.Wrap(err, "cannot read the probe response body")
}

// parseLoad parses a load report of the form "busy/slots", such as "1/2". Both
// values are -1 when it is malformed.
func parseLoad(v string) (calls, slots int) {
	a, b, _ := strings.Cut(v, "/")
	calls, callsErr := strconv.Atoi(a)
	slots, slotsErr := strconv.Atoi(b)
	if callsErr != nil || slotsErr != nil || calls < 0 || slots < 1 {
		return -1, -1
	}
	return calls, slots
}

// dialTCP opens a TCP connection to server.
func dialTCP(ctx context.Context, server netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", server.String())
}
