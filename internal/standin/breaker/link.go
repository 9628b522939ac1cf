package breaker

import (
	"net"
	"sync"
	"sync/atomic"
)

// link is one forwarded connection.
type link struct {
	breaker *Breaker
	near    net.Conn
	silent  atomic.Bool

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
	l.copy(far, l.near)
	<-back
}

func (l *link) answer(done chan<- struct{}) {
	defer close(done)
	l.copy(l.near, l.far)
}

// copy forwards until one side closes, which closes both. Bytes that are read
// while the link is silent are dropped.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
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
