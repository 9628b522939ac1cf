package sender

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxInformationalBytes limits the 1xx responses to one call that arrive at
	// once. net/http has the same limit for those that no hook sees.
	maxInformationalBytes = maxResponseHeaderBytes
	// informationalBytesPerSecond restores this allowance in calls that take long.
	// A backend server that reports its progress sends some 100 bytes per second.
	informationalBytesPerSecond = 16 << 10
)

var errTooManyInformational = errors.New("the backend server sent too many 1xx responses")

// informationalForwarder forwards informational (1xx) responses until the
// attempt has ended. It must be stopped then, because the HTTP client may still
// deliver one after a deadline has ended the attempt. It ends an attempt with more
// of them than the allowance: net/http leaves their number to the hook.
type informationalForwarder struct {
	forward func(status int, h http.Header)
	conn    *trackedConn

	mu         sync.Mutex
	stopped    bool
	readBytes  int64     // Value of conn.bytesRead at the last 1xx response, or at the start.
	readAt     time.Time // Time of the last 1xx response, or of the start.
	spentBytes float64   // Spent part of maxInformationalBytes.
}

func newInformationalForwarder(conn *trackedConn, forward func(int, http.Header)) *informationalForwarder {
	return &informationalForwarder{forward: forward, conn: conn, readBytes: conn.bytesRead.Load(), readAt: time.Now()}
}

// clientTrace returns the hooks that deliver 1xx responses to f.
func (f *informationalForwarder) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: f.forwardInformational}
}

// forwardInformational forwards a 1xx response unless it is 100 Continue. An error
// ends the attempt.
func (f *informationalForwarder) forwardInformational(status int, h textproto.MIMEHeader) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.spendAllowance(time.Now()) {
		return errTooManyInformational
	}
	if f.forward != nil && !f.stopped && status != http.StatusContinue {
		f.forward(status, http.Header(h))
	}
	return nil
}

// spendAllowance counts the bytes read since the last 1xx response and reports
// whether they were within the allowance. f.mu must be held.
func (f *informationalForwarder) spendAllowance(now time.Time) bool {
	restored := now.Sub(f.readAt).Seconds() * informationalBytesPerSecond
	read := f.conn.bytesRead.Load()
	f.spentBytes = max(f.spentBytes-restored, 0) + float64(read-f.readBytes)
	f.readBytes, f.readAt = read, now
	return f.spentBytes <= maxInformationalBytes
}

func (f *informationalForwarder) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}
