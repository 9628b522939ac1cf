package breaker

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one forwarded connection.
type link struct {
	breaker *Breaker
	near    net.Conn
	silent  atomic.Bool
	mute    atomic.Bool // Only the way back is silent.

	mu     sync.Mutex
	far    net.Conn
	closed bool
}

func (l *link) run() {
	defer l.breaker.drop(l)
	defer l.close()
	far, err := net.Dial("tcp", l.breaker.Target.String())
	if err != nil {
		return
	}
	l.mu.Lock()
	l.far = far
	closed := l.closed
	l.mu.Unlock()
	if closed {
		_ = far.Close()
		return
	}
	back := make(chan struct{})
	go l.answer(back)
	l.copy(far, l.near, &l.silent)
	<-back
}

func (l *link) answer(done chan<- struct{}) {
	defer close(done)
	l.copy(l.near, l.far, &l.mute)
}

// copy forwards until one side closes, which closes both. Bytes that are read
// while the link or this way of it is silent are dropped.
func (l *link) copy(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(l.breaker.Delay.Load()))
		if n > 0 && !l.silent.Load() && !silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	l.close()
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.near.Close()
	if l.far != nil {
		_ = l.far.Close()
	}
}
