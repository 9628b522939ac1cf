package answerer

import (
	"context"
	"net/http"
	"time"
)

// bodyDrainTimeout bounds how long http.Server reads the rest of a body after the answer.
const bodyDrainTimeout = time.Second

// Body is the body of a call as far as a Guard needs it.
type Body interface {
	Ended() bool // Reports whether the body was read to its end.
}

// Guard keeps a caller's connection in order while an answer and the rest of
// the body may overlap. It ends a wait for the body when the call has ended,
// because http.ClientConn and http.Server both wait for a read that has begun.
type Guard struct {
	w               http.ResponseWriter
	controller      *http.ResponseController
	body            Body
	attempted       bool // An attempt may read the body.
	stopWatch       func() bool
	interruptDone   chan struct{} // Closed after run.
	readInterrupted bool          // The read deadline of the caller's connection was set.
	watchEnded      bool
}

// Watch starts a Guard that ends reads of b when ctx is done. End must be called.
func Watch(ctx context.Context, w http.ResponseWriter, b Body) *Guard {
	c := &Guard{w: w, controller: http.NewResponseController(w), body: b, interruptDone: make(chan struct{})}
	c.stopWatch = context.AfterFunc(ctx, c.interruptRead)
	return c
}

func (c *Guard) interruptRead() {
	defer close(c.interruptDone)
	if !c.body.Ended() {
		c.readInterrupted = true
		_ = c.controller.SetReadDeadline(time.Now())
	}
}

// Send is called before an attempt. Without full duplex, http.Server would
// take the rest of the body away from the attempt when the answer begins.
func (c *Guard) Send() {
	if !c.attempted && !c.body.Ended() {
		c.attempted = true
		_ = c.controller.EnableFullDuplex()
	}
}

// Answer is called when no attempt waits any more, before the header of the
// answer is written. http.Server cannot use a connection again whose body was
// not read in full duplex. Nor may it after a read deadline: when the body ended
// at the same time, the deadline cancels the contexts of all later calls.
func (c *Guard) Answer() {
	c.endWatch()
	if c.readInterrupted || c.attempted && !c.body.Ended() {
		c.w.Header().Set("Connection", "close")
	}
}

// End is called before the handler returns.
func (c *Guard) End() {
	c.endWatch()
	if c.attempted && !c.body.Ended() {
		_ = c.controller.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	}
}

// endWatch stops the guard, and waits for run if it has begun.
func (c *Guard) endWatch() {
	if !c.watchEnded {
		c.watchEnded = true
		if !c.stopWatch() {
			<-c.interruptDone
		}
	}
}
