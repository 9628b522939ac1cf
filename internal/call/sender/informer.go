package sender

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

// informer passes 1xx answers on until the attempt has ended. The reader of a
// connection may still deliver one when a deadline has ended the attempt.
type informer struct {
	inform func(status int, h http.Header)

	mu    sync.Mutex
	ended bool
}

func (i *informer) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{Got1xxResponse: i.got}
}

func (i *informer) got(status int, h textproto.MIMEHeader) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.inform != nil && !i.ended && status != http.StatusContinue {
		i.inform(status, http.Header(h))
	}
	return nil
}

func (i *informer) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
}
