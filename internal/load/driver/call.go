package driver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/load/planner"
	"sardinelever.example/sardinelever/internal/load/recorder"
	"sardinelever.example/sardinelever/internal/standin/worker"
)

// call is a caller with one call.
type call struct {
	recorder.Call
	driver   *Driver
	done     *sync.WaitGroup
	header   string // Name of the header with the identity.
	identity string
	body     string
}

const callBody = "order"

// retryDelay is the time before the second attempt; later ones wait longer.
const retryDelay = 150 * time.Millisecond

func (c *call) run(ctx context.Context) {
	defer c.done.Done()
	if m := c.Arrival.Stream.Method; m != "" && m != http.MethodGet {
		c.body = callBody
	}
	base := c.driver.Entrance.pick("")
	c.identify(ctx, base)
	for n := 0; ; n++ {
		a := recorder.Attempt{Token: fmt.Sprintf("%s.%d", c.Name, n), Start: time.Now()}
		a.Outcome, a.Reason, base = c.try(ctx, base, a.Token)
		a.Instance = base
		c.Attempts = append(c.Attempts, a)
		c.Latency = time.Since(c.Start)
		retry := a.Outcome == recorder.NotRun || a.Outcome == recorder.Unknown || a.Outcome == recorder.Cut
		if !retry || n >= c.Arrival.Stream.Retries || !sleeper.Sleep(ctx, time.Duration(n+1)*retryDelay) {
			break
		}
		base = c.driver.Entrance.pick(base)
	}
	c.driver.Record.Add(c.Call)
}

// identify obtains the identity; without an issued one the caller makes it.
func (c *call) identify(ctx context.Context, base string) {
	switch c.Arrival.Stream.Identity {
	case planner.None:
		return
	case planner.Issued:
		c.header, c.identity = "Sardine-Id", c.issued(ctx, base)
	}
	if c.identity == "" {
		c.header, c.identity = "Idempotency-Key", uuid.Must(uuid.NewV7()).String()
	}
}

func (c *call) issued(ctx context.Context, base string) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/sardine/id", nil)
	if err != nil {
		return ""
	}
	resp, err := c.driver.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// errSent is the error of an attempt that was sent and got no answer.
var errSent = errors.New("no answer to a call that was sent")

// maxDials bounds the instances that the platform's load balancer tries for
// one attempt when connections are refused.
const maxDials = 4

func (c *call) try(ctx context.Context, base, token string) (recorder.Outcome, string, string) {
	for range maxDials - 1 {
		outcome, reason, err := c.send(ctx, base, token)
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return outcome, reason, base
		}
		base = c.driver.Entrance.pick(base)
	}
	outcome, reason, _ := c.send(ctx, base, token)
	return outcome, reason, base
}

func (c *call) send(ctx context.Context, base, token string) (recorder.Outcome, string, error) {
	s := c.Arrival.Stream
	deadline := s.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+patience)
	defer cancel()
	var body io.Reader
	if c.body != "" {
		// A body of its own type keeps http.Transport from sending a call again.
		body = struct{ io.Reader }{strings.NewReader(c.body)}
	}
	req, err := http.NewRequestWithContext(ctx, s.Method, base+"/"+s.Service+s.Path, body)
	if err != nil {
		return recorder.Cut, err.Error(), err
	}
	req.ContentLength = int64(len(c.body))
	req.Header.Set(worker.CallHeader, c.Name)
	req.Header.Set(worker.AttemptHeader, token)
	req.Header.Set(worker.ServiceTimeHeader, strconv.FormatInt(c.Arrival.Service.Microseconds(), 10))
	req.Header.Set("Sardine-Rank", s.Rank.String())
	if s.Deadline != 0 {
		req.Header.Set("Sardine-Deadline", strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	}
	if c.identity != "" {
		req.Header.Set(c.header, c.identity)
	}
	// http.Transport sends a call without a body again by itself when a reused
	// connection breaks; the call may then have run although the last dial failed.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	resp, err := c.driver.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err != nil && sent.Load():
		return recorder.Cut, err.Error(), errSent
	case err != nil:
		return recorder.Cut, err.Error(), err
	}
	outcome, reason := c.read(resp)
	return outcome, reason, nil
}

func (c *call) read(resp *http.Response) (recorder.Outcome, string) {
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	reason := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Sardine-Reason"))
	switch {
	case err != nil:
		return recorder.Cut, err.Error()
	case resp.Header.Get("Sardine-Outcome") == "rejected":
		return recorder.NotRun, reason
	case resp.Header.Get("Sardine-Outcome") == "unknown":
		return recorder.Unknown, reason
	case resp.StatusCode != http.StatusOK:
		return recorder.Failed, reason
	case !strings.HasSuffix(string(text), "\n"+c.Name+"\n"):
		return recorder.Foreign, "answer of another call"
	}
	took, _ := strconv.Atoi(resp.Header.Get(worker.RunTimeHeader))
	c.Took = time.Duration(took) * time.Microsecond
	return recorder.Served, ""
}
