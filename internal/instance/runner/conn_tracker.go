package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

const (
	// newConnWait is how long a shutdown waits for the first request of a connection that
	// was accepted before the listener was closed. A caller sends it with the connection.
	newConnWait = time.Second
	// connCheckPeriod is the time between two checks whether connections are in use.
	connCheckPeriod = 5 * time.Millisecond
)

// connTracker knows the connections of an HTTP server that are in use. http.Server.Shutdown
// closes a connection without an answer when it reads a request after its call, so it is
// called only when none is in use.
type connTracker struct {
	mu    sync.Mutex
	inUse map[net.Conn]http.ConnState // Connections in StateNew or StateActive.
}

// setState is the ConnState hook of the server.
func (t *connTracker) setState(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inUse == nil {
		t.inUse = make(map[net.Conn]http.ConnState)
	}
	switch s {
	case http.StateNew, http.StateActive:
		t.inUse[c] = s
	default:
		delete(t.inUse, c)
	}
}

// isInUse reports whether a connection has a request, or may still send its first one.
func (t *connTracker) isInUse(awaitNew bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.inUse {
		if s == http.StateActive || awaitNew {
			return true
		}
	}
	return false
}

// awaitUnused waits until no connection is in use or ctx is done.
func (t *connTracker) awaitUnused(ctx context.Context) {
	newConnEnd := time.Now().Add(newConnWait)
	for ctx.Err() == nil && t.isInUse(time.Now().Before(newConnEnd)) {
		sleeper.Sleep(ctx, connCheckPeriod)
	}
}
