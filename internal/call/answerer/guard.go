package answerer

import (
	"context"
	"net/http"
	"time"
)

// linger bounds how long http.Server reads the rest of a body after the answer.
const linger = time.Second

// Body is the body of a call as far as a Guard needs it.
type Body interface {
	Ended() bool // Reports whether the body was read to its end.
}

// Guard keeps a caller's connection in order while an answer and the rest of
// the body may overlap. It ends a wait for the body when the call has ended,
// because http.ClientConn and http.Server both wait for a read that has begun.
type Guard struct {
	w       http.ResponseWriter
	control *http.ResponseController
	body    Body
	sent    bool // An attempt may read the body.
	stop    func() bool
	done    chan struct{} // Closed after run.
	cut     bool          // The read deadline of the caller's connection was set.
	settled bool
}

// Watch starts a Guard that ends reads of b when ctx is done. End must be called.
func Watch(ctx context.Context, w http.ResponseWriter, b Body) *Guard {
	g := &Guard{w: w, control: http.NewResponseController(w), body: b, done: make(chan struct{})}
	g.stop = context.AfterFunc(ctx, g.run)
	return g
}

func (g *Guard) run() {
	defer close(g.done)
	if !g.body.Ended() {
		g.cut = true
		_ = g.control.SetReadDeadline(time.Now())
	}
}

// Send is called before an attempt. Without full duplex, http.Server would
// take the rest of the body away from the attempt when the answer begins.
func (g *Guard) Send() {
	if !g.sent && !g.body.Ended() {
		g.sent = true
		_ = g.control.EnableFullDuplex()
	}
}

// Answer is called when no attempt waits any more, before the header of the
// answer is written. http.Server cannot use a connection again whose body was
// not read in full duplex. Nor may it after a read deadline: when the body ended
// at the same time, the deadline cancels the contexts of all later calls.
func (g *Guard) Answer() {
	g.settle()
	if g.cut || g.sent && !g.body.Ended() {
		g.w.Header().Set("Connection", "close")
	}
}

// End is called before the handler returns.
func (g *Guard) End() {
	g.settle()
	if g.sent && !g.body.Ended() {
		_ = g.control.SetReadDeadline(time.Now().Add(linger))
	}
}

// settle stops the guard, and waits for run if it has begun.
func (g *Guard) settle() {
	if !g.settled {
		g.settled = true
		if !g.stop() {
			<-g.done
		}
	}
}
