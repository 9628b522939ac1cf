package sender

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// trace follows one attempt and proves whether any byte of it was written.
type trace struct {
	mu     sync.Mutex
	conn   *trackedConn
	before int64 // Bytes written on conn before the attempt.
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

func (t *trace) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn, t.before = c, c.written.Load()
}

func (t *trace) failure(ctx context.Context, err error) *Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &Failure{Outcome: Unknown, Reason: "read", Err: err}
	switch {
	case t.conn == nil:
		f.Outcome, f.Reason = Rejected, "connect"
	case t.conn.written.Load() == t.before:
		f.Outcome, f.Reason = Rejected, "write"
	}
	if ctx.Err() != nil {
		f.Reason = "deadline"
	}
	return f
}
