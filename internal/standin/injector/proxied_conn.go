package injector

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxiedConn is the two connections of one caller through a Proxy.
type proxiedConn struct {
	proxy         *Proxy
	caller        net.Conn
	dropAll       atomic.Bool // Drops the bytes of both directions.
	dropRequests  atomic.Bool // Drops the bytes from caller to target.
	dropResponses atomic.Bool // Drops the bytes from target to caller.

	mu     sync.Mutex
	target net.Conn // nil until the proxy has connected to its target.
	closed bool
}

func (c *proxiedConn) forward() {
	defer c.proxy.removeConn(c)
	defer c.close()
	target, err := net.Dial("tcp", c.proxy.Target.String())
	if err != nil {
		return
	}
	c.mu.Lock()
	c.target = target
	closed := c.closed
	c.mu.Unlock()
	if closed {
		_ = target.Close()
		return
	}
	responsesDone := make(chan struct{})
	go c.forwardResponses(responsesDone)
	c.copy(target, c.caller, &c.dropRequests)
	<-responsesDone
}

func (c *proxiedConn) forwardResponses(done chan<- struct{}) {
	defer close(done)
	c.copy(c.caller, c.target, &c.dropResponses)
}

// copy forwards bytes from src to dst until one of them closes, then closes both.
// Bytes that are read while dropAll or dropDirection is set are dropped.
func (c *proxiedConn) copy(dst, src net.Conn, dropDirection *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		time.Sleep(time.Duration(c.proxy.ReadDelayNanos.Load()))
		if n > 0 && !c.dropAll.Load() && !dropDirection.Load() {
			if _, err := dst.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.close()
}

func (c *proxiedConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.caller.Close()
	if c.target != nil {
		_ = c.target.Close()
	}
}
