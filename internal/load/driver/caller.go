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

// caller sends one call, with its retries, and collects the result in the
// embedded recorder.Call.
type caller struct {
	recorder.Call
	driver         *Driver
	running        *sync.WaitGroup // Counts the callers that have not finished.
	keyHeader      string          // Name of the header that carries the idempotency key.
	idempotencyKey string          // Empty for a call without idempotency key.
	body           string          // Empty for a GET.
}

// requestBody is the body of each call with a method other than GET.
const requestBody = "order"

// retryDelay is the delay before the first retry; retry n waits n times as long.
const retryDelay = 150 * time.Millisecond

// sendUntilAnswered sends the call and adds the result to the recorder. It
// repeats an attempt that was rejected, has an unknown outcome or got no
// response, each time at another instance if there is one, as often as the
// stream allows.
func (c *caller) sendUntilAnswered(ctx context.Context) {
	defer c.running.Done()
	if m := c.Arrival.Stream.Method; m != "" && m != http.MethodGet {
		c.body = requestBody
	}
	baseURL := c.driver.Balancer.pickURL("")
	c.obtainIdempotencyKey(ctx, baseURL)
	for n := 0; ; n++ {
		attempt := recorder.Attempt{Token: fmt.Sprintf("%s.%d", c.Name, n), Start: time.Now()}
		attempt.Outcome, attempt.Reason, baseURL = c.sendAttempt(ctx, baseURL, attempt.Token)
		attempt.Instance = baseURL
		c.Attempts = append(c.Attempts, attempt)
		c.Latency = time.Since(c.Start)
		retry := attempt.Outcome == recorder.NotRun || attempt.Outcome == recorder.Unknown || attempt.Outcome == recorder.NoResponse
		if !retry || n >= c.Arrival.Stream.Retries || !sleeper.Sleep(ctx, time.Duration(n+1)*retryDelay) {
			break
		}
		baseURL = c.driver.Balancer.pickURL(baseURL)
	}
	c.driver.Recorder.AddCall(c.Call)
}

// obtainIdempotencyKey sets the idempotency key that the stream asks for. The
// caller generates one itself when the instance at baseURL does not issue one.
func (c *caller) obtainIdempotencyKey(ctx context.Context, baseURL string) {
	switch c.Arrival.Stream.KeySource {
	case planner.NoKey:
		return
	case planner.InstanceKey:
		c.keyHeader, c.idempotencyKey = "Sardine-Id", c.requestIdempotencyKey(ctx, baseURL)
	}
	if c.idempotencyKey == "" {
		c.keyHeader, c.idempotencyKey = "Idempotency-Key", uuid.Must(uuid.NewV7()).String()
	}
}

// requestIdempotencyKey returns an idempotency key issued by the instance at
// baseURL, or "" if the request fails.
func (c *caller) requestIdempotencyKey(ctx context.Context, baseURL string) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/sardine/id", nil)
	if err != nil {
		return ""
	}
	resp, err := c.driver.client.Do(req)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	key, err := io.ReadAll(io.LimitReader(resp.Body, 1024))
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return strings.TrimSpace(string(key))
}

// errNoResponse is the error of a request that was sent and got no response. It
// hides the cause, so that a dial error of a later send by http.Transport is not
// taken for proof that the request was never sent.
var errNoResponse = errors.New("request was sent but no response arrived")

// maxInstancesPerAttempt bounds how many instances the platform's load balancer
// tries for one attempt when it cannot connect.
const maxInstancesPerAttempt = 4

// sendAttempt sends one attempt, first to the instance at baseURL and after a
// failed dial to another one, as the platform's load balancer would do. It
// returns the outcome, the reason for it and the base URL of the last instance
// tried.
func (c *caller) sendAttempt(ctx context.Context, baseURL, token string) (recorder.Outcome, string, string) {
	for range maxInstancesPerAttempt - 1 {
		outcome, reason, err := c.sendRequest(ctx, baseURL, token)
		var opErr *net.OpError
		if !errors.As(err, &opErr) || opErr.Op != "dial" {
			return outcome, reason, baseURL
		}
		baseURL = c.driver.Balancer.pickURL(baseURL)
	}
	outcome, reason, _ := c.sendRequest(ctx, baseURL, token)
	return outcome, reason, baseURL
}

// sendRequest sends the attempt named token to the instance at baseURL and returns
// its outcome and the reason for it. The error is that of the HTTP client, or
// errNoResponse if the request was sent; a response of any kind is no error.
func (c *caller) sendRequest(ctx context.Context, baseURL, token string) (recorder.Outcome, string, error) {
	stream := c.Arrival.Stream
	deadline := stream.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+responseGrace)
	defer cancel()
	var body io.Reader
	if c.body != "" {
		// For a body of a type that it does not know, http.NewRequest sets no GetBody.
		// Without GetBody, http.Transport does not by itself send a request again.
		body = struct{ io.Reader }{strings.NewReader(c.body)}
	}
	req, err := http.NewRequestWithContext(ctx, stream.Method, baseURL+"/"+stream.Service+stream.Path, body)
	if err != nil {
		return recorder.NoResponse, err.Error(), err
	}
	req.ContentLength = int64(len(c.body))
	req.Header.Set(worker.CallHeader, c.Name)
	req.Header.Set(worker.AttemptHeader, token)
	req.Header.Set(worker.ServiceTimeHeader, strconv.FormatInt(c.Arrival.ServiceTime.Microseconds(), 10))
	req.Header.Set("Sardine-Rank", stream.Rank.String())
	if stream.Deadline != 0 {
		req.Header.Set("Sardine-Deadline", strconv.FormatInt(stream.Deadline.Milliseconds(), 10))
	}
	if c.idempotencyKey != "" {
		req.Header.Set(c.keyHeader, c.idempotencyKey)
	}
	// When a reused connection breaks, http.Transport by itself sends a request
	// without a body again. The call may then have run although the last dial
	// failed, so a dial error counts only if no headers were written before.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	resp, err := c.driver.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err != nil && sent.Load():
		return recorder.NoResponse, err.Error(), errNoResponse
	case err != nil:
		return recorder.NoResponse, err.Error(), err
	}
	outcome, reason := c.readResponse(resp)
	return outcome, reason, nil
}

// readResponse reads the response and returns the outcome of the attempt and the
// reason for it. A backend server ends its answer with a line that holds the
// name of the call, so an answer without it belongs to another call or is
// incomplete.
func (c *caller) readResponse(resp *http.Response) (recorder.Outcome, string) {
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	reason := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Sardine-Reason"))
	switch {
	case err != nil:
		return recorder.NoResponse, err.Error()
	case resp.Header.Get("Sardine-Outcome") == "rejected":
		return recorder.NotRun, reason
	case resp.Header.Get("Sardine-Outcome") == "unknown":
		return recorder.Unknown, reason
	case resp.StatusCode != http.StatusOK:
		return recorder.Failed, reason
	case !strings.HasSuffix(string(text), "\n"+c.Name+"\n"):
		return recorder.WrongResponse, "answer of another call"
	}
	took, _ := strconv.Atoi(resp.Header.Get(worker.RunTimeHeader))
	c.ServerTime = time.Duration(took) * time.Microsecond
	return recorder.Served, ""
}
