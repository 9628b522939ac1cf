package responder

import (
	"context"
	"net/http"
	"time"
)

// bodyDrainTimeout limits how long http.Server reads the rest of the request body
// after the response.
const bodyDrainTimeout = time.Second

// RequestBody is the body of a caller's request.
type RequestBody interface {
	Ended() bool // Reports whether the body was read to its end.
}

// CallerConn controls the connection of a caller while the response may begin
// before the request body has been read to its end. When the call has ended, it
// interrupts a read of the body that is in progress, because http.ClientConn and
// http.Server both wait for it to return. The methods are called in the order
// PrepareAttempt (for each attempt), PrepareResponse, Finish.
type CallerConn struct {
	w               http.ResponseWriter
	controller      *http.ResponseController
	body            RequestBody
	attempted       bool          // An attempt may have read a part of the body.
	stopWatch       func() bool   // Result of context.AfterFunc.
	interruptDone   chan struct{} // Closed at the end of interruptRead.
	readInterrupted bool          // interruptRead has set the read deadline of the connection.
	watchEnded      bool          // endWatch was called.
}

// WatchCallerConn returns a CallerConn that interrupts reads of b when ctx is done.
// Finish must be called.
func WatchCallerConn(ctx context.Context, w http.ResponseWriter, b RequestBody) *CallerConn {
	c := &CallerConn{w: w, controller: http.NewResponseController(w), body: b, interruptDone: make(chan struct{})}
	c.stopWatch = context.AfterFunc(ctx, c.interruptRead)
	return c
}

// interruptRead makes reads of the body fail unless it was read to its end.
func (c *CallerConn) interruptRead() {
	defer close(c.interruptDone)
	if !c.body.Ended() {
		c.readInterrupted = true
		_ = c.controller.SetReadDeadline(time.Now())
	}
}

// PrepareAttempt is called before an attempt. It enables full duplex, without
// which http.Server reads and discards the rest of the body when the response
// begins, so that the attempt would miss it.
func (c *CallerConn) PrepareAttempt() {
	if !c.attempted && !c.body.Ended() {
		c.attempted = true
		_ = c.controller.EnableFullDuplex()
	}
}

// PrepareResponse is called after the last attempt, before the header of the
// response is written. It has the connection closed after the response in two
// cases. In full duplex, http.Server cannot reuse a connection whose request body
// was not read to its end. After a read deadline it must not reuse the connection
// either: when the body ended at the same time, the deadline cancels the contexts
// of all later calls on it.
func (c *CallerConn) PrepareResponse() {
	c.endWatch()
	if c.readInterrupted || c.attempted && !c.body.Ended() {
		c.w.Header().Set("Connection", "close")
	}
}

// Finish is called before the handler returns.
func (c *CallerConn) Finish() {
	c.endWatch()
	if c.attempted && !c.body.Ended() {
		_ = c.controller.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	}
}

// endWatch stops watching the context and waits for the end of interruptRead if it
// has begun.
func (c *CallerConn) endWatch() {
	if !c.watchEnded {
		c.watchEnded = true
		if !c.stopWatch() {
			<-c.interruptDone
		}
	}
}
