package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/responder"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
)

const (
	// streamWait is the longest wait for the body of a request of unknown length before a
	// slot is asked for. Its caller may wait for the answer before it sends more.
	streamWait = 100 * time.Millisecond
	// smallBodyBytes is the size of a body that is read also while memory is short.
	smallBodyBytes = 4 << 10
	// answerBufferBytes is the most of an answer that is read ahead of its caller.
	answerBufferBytes = 256 << 10
	// smallAnswerBytes is the size up to which an answer is read whole before it is sent.
	smallAnswerBytes = 16 << 10
)

var errLargeBody = errors.New("the body is larger than the configuration allows")

// limitedBody is a body of unknown length that fails when it exceeds the limit.
type limitedBody struct {
	io.Reader
	remaining int64
}

// Read returns errLargeBody in place of the first bytes over the limit.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errLargeBody
	}
	return n, err
}

// bodySource returns the body of r, limited to the bytes that the configuration allows.
func (h *callHandler) bodySource(r *http.Request) io.Reader {
	if limit := h.routingTable.Load().Limits.Body; limit > 0 && r.ContentLength < 0 {
		return &limitedBody{r.Body, int64(limit)}
	}
	return r.Body
}

// refuseEarly reads ahead and refuses the call if it cannot be sent. It reports whether it
// did.
func (a *activeCall) refuseEarly(ctx context.Context, start time.Time) bool {
	report := a.readAhead(ctx)
	if report == nil {
		return false
	}
	a.callerConn.PrepareResponse()
	a.responder.WriteErrorReport(a.w, *report)
	a.recordCall(a, sender.Rejected.String(), report, start)
	return true
}

// readAhead reads the body of the call, or as much of it as can be sent again, before a
// slot is asked for, so that a slow caller occupies none. It returns a report if the call
// cannot be sent. A call whose time is over is left to its deadline.
func (a *activeCall) readAhead(ctx context.Context) *responder.ErrorReport {
	length := a.r.ContentLength
	if a.holding == nil || a.body.Ended() || a.r.Header.Get("Expect") != "" {
		return nil
	}
	n := retrier.MaxReplayBytes
	if length > 0 {
		n = int(min(length, retrier.MaxReplayBytes))
	}
	if (length < 0 || n > smallBodyBytes) && !a.holding.MayHold(n) {
		a.w.Header().Set("Connection", "close") // Otherwise net/http waits for the body.
		report := memoryReport()
		return &report
	}
	var err error
	if length > 0 {
		err = a.body.ReadAhead(n, new(atomic.Bool))
	} else {
		err = a.readStreamAhead(ctx, n)
	}
	switch {
	case a.body.Ended():
		a.holding.Protect()
	case ctx.Err() != nil:
	case errors.Is(err, errLargeBody):
		return &responder.ErrorReport{StatusCode: http.StatusRequestEntityTooLarge, Reason: "size", Detail: err.Error()}
	case err != nil:
		return &responder.ErrorReport{StatusCode: http.StatusBadRequest, Reason: "body", Detail: "the body is not complete"}
	}
	return nil
}

// readStreamAhead reads a body of unknown length for streamWait at most.
func (a *activeCall) readStreamAhead(ctx context.Context, n int) error {
	s := &streamReader{body: a.body, bytes: n, done: make(chan error, 1)}
	go s.run()
	timer := time.NewTimer(streamWait)
	defer timer.Stop()
	select {
	case err := <-s.done:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	s.stop.Store(true)
	return nil
}

// streamReader reads ahead until it is stopped. A read in progress then goes on, and the
// attempt gets its bytes.
type streamReader struct {
	body  *retrier.Body
	bytes int
	stop  atomic.Bool
	done  chan error
}

func (s *streamReader) run() { s.done <- s.body.ReadAhead(s.bytes, &s.stop) }

// bufferAnswer lets the backend server hand over the response however slowly the caller
// reads, and releases the slot when it has. Of an answer without an end in sight, only
// answerBufferBytes are read ahead, then as fast as the caller reads. The function cancel
// ends the call at the backend server.
func (a *activeCall) bufferAnswer(response *serverResponse, cancel func()) {
	resp := response.resp
	if a.holding == nil {
		return
	}
	switch length := resp.ContentLength; {
	case length == 0 || a.r.Method == http.MethodHead:
		response.releaseSlot()
	case length > 0 && length <= smallAnswerBytes:
		resp.Body = readSmallAnswer(resp.Body, int(length))
		response.releaseSlot()
	default:
		limit := answerBufferBytes
		if length > 0 {
			limit = int(min(length+smallAnswerBytes, answerBufferBytes))
		}
		if !a.holding.MayHold(limit) {
			limit = 0 // One part.
		}
		resp.Body = &responder.AnswerBuffer{Source: resp.Body, Limit: limit, Hold: a.holding.Hold, OnEnd: response.releaseSlot, Cancel: cancel}
	}
}

// readSmallAnswer reads source whole and returns a body with the same bytes and the same
// end.
func readSmallAnswer(source io.ReadCloser, length int) io.ReadCloser {
	b := &smallAnswer{ReadCloser: source, err: io.EOF}
	data := make([]byte, 0, length+1) // With room for the read that returns the end.
	for {
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil || len(data) > length {
			b.err = err
			break
		}
	}
	b.data = *bytes.NewReader(data)
	return b
}

// smallAnswer is the body of a response that was read whole.
type smallAnswer struct {
	io.ReadCloser
	data bytes.Reader
	err  error
}

// Read returns the bytes that were read, then the error with which they ended.
func (b *smallAnswer) Read(p []byte) (int, error) {
	if n, _ := b.data.Read(p); n > 0 {
		return n, nil
	}
	return 0, b.err
}
