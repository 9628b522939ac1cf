package sender

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// informationalForwarder forwards informational (1xx) responses until the
// attempt has ended. It must be stopped then, because the HTTP client may still
// deliver one after a deadline has ended the attempt.
type informationalForwarder struct {
	forward func(status int, h http.Header)

	mu      sync.Mutex
	stopped bool
}

// clientTrace returns the hooks that deliver 1xx responses to f.
func (f *informationalForwarder) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: f.forwardInformational}
}

// forwardInformational forwards a 1xx response unless it is 100 Continue.
func (f *informationalForwarder) forwardInformational(status int, h textproto.MIMEHeader) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.forward != nil && !f.stopped && status != http.StatusContinue {
		f.forward(status, http.Header(h))
	}
	return nil
}

func (f *informationalForwarder) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
}
