package sender

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// informationalForwarder passes 1xx answers on until the attempt has ended. The reader of a
// connection may still deliver one when a deadline has ended the attempt.
type informationalForwarder struct {
	forward func(status int, h http.Header)

	mu      sync.Mutex
	stopped bool
}

func (f *informationalForwarder) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: f.forwardInformational}
}

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
