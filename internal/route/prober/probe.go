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

	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

// maxAnswer bounds what is read of an answer, in bytes.
const maxAnswer = 64 << 10

// outcome is what became of a turn.
type outcome struct {
	figure  Figure
	took    time.Duration // Time charged to the backend server.
	skipped bool          // No probe was sent, and nothing is known of the server.
}

// probe opens a connection ahead of the time slot's middle and sends one
// request at the middle. It writes the request itself, because
// net/http.Transport may send a GET again on another connection.
func (p *Prober) probe(ctx context.Context, t Turn) outcome {
	failed := outcome{figure: Figure{Service: t.Service, Server: t.Server, Busy: -1, Slots: -1, Failed: true}}
	dialing, cancel := context.WithDeadline(ctx, t.Middle.Add(Late(t.Probe)))
	defer cancel()
	conn, err := p.Dial(dialing, t.Server)
	if err != nil {
		return failed
	}
	defer func() { _ = conn.Close() }()
	unused := outcome{skipped: true, took: t.Probe.Cost.Std()} // The connection cost the backend server something too.
	// The wall clock may be adjusted during a sleep, so it is read again after each.
	for wait := time.Until(t.Middle); wait > 0; wait = time.Until(t.Middle) {
		if !sleeper.Sleep(ctx, wait) {
			return unused
		}
	}
	req, err := request(t)
	if err != nil {
		p.Log.Error().Err(err).Msg("route: probe cannot be built")
		return unused
	}
	start := time.Now()
	if !p.planner.Send(t, start) {
		return unused
	}
	p.sent.Add(1)
	_ = conn.SetDeadline(start.Add(Timeout(t.Probe)))
	resp, err := exchange(conn, req)
	took := time.Since(start)
	failed.figure.Age, failed.took = took, took
	if err != nil {
		return failed
	}
	f := Figure{
		Service: t.Service, Server: t.Server, Age: took, Latency: took,
		Failed: resp.StatusCode/100 != 2, Drain: resp.Header.Get("Sardine-Drain") == "1",
	}
	f.Busy, f.Slots = load(resp.Header.Get("Sardine-Load"))
	return outcome{figure: f, took: took}
}

func request(t Turn) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+t.Server.String()+t.Probe.Path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s: probe path %q", t.Service, t.Probe.Path)
	}
	req.Close = true
	return req, nil
}

// exchange sends req and reads the header of the answer and a short body.
func exchange(conn net.Conn, req *http.Request) (*http.Response, error) {
	if err := req.Write(conn); err != nil {
		return nil, errors.Wrap(err, "probe cannot be sent")
	}
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxAnswer)), req)
	if err != nil {
		return nil, errors.Wrap(err, "probe has no answer")
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp, errors.Wrap(err, "answer of the probe is truncated")
}

// load parses a load report such as "1/2"; both values are -1 when it is malformed.
func load(v string) (busy, slots int) {
	a, b, _ := strings.Cut(v, "/")
	busy, err := strconv.Atoi(a)
	slots, err2 := strconv.Atoi(b)
	if err != nil || err2 != nil || busy < 0 || slots < 1 {
		return -1, -1
	}
	return busy, slots
}

func dial(ctx context.Context, server netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", server.String())
}
