package limiter

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

// Kind is the listener of a connection.
type Kind int

// The listeners of an instance.
const (
	Callers Kind = iota
	Operators
	Peers
	kindCount
)

// Reason says why a connection was closed or refused.
type Reason int

// Reasons in the order of Reasons.
const (
	Memory      Reason = iota // The budget is used up and this connection held most for longest.
	Descriptors               // All connections of the listener are in use.
	Fields                    // A header had more fields than maxFields.
	Unread                    // The client did not take an answer.
	Pipelined                 // The client sent a request before it had the answer to the one before.
	reasonCount
)

// Reasons are the names of the reasons in metrics and in the status.
var Reasons = [reasonCount]string{"memory", "descriptors", "fields", "unread", "pipelined"}

const (
	// budgetFraction is the part of the memory of the process that clients may hold. The
	// Go runtime collects garbage without pause above 65%; 25 points are left for
	// everything else that the process holds and for garbage.
	budgetFraction = 0.4
	// Connections are closed when more than closeFraction of the budget is in use, until
	// reliefFraction is. The rest of the budget is room for new callers.
	closeFraction, reliefFraction = 0.9, 0.8
	// aheadFraction is the part of the budget up to which bodies and answers are read ahead.
	// A crowd sends many bodies within a moment, before the collector frees what they replaced.
	aheadFraction = 0.65
	// refuseFraction is the part of the budget above which also ordinary requests are
	// refused, which calls that wait for slots can use up.
	refuseFraction = 1.25
	// youngTime is the time for which a connection that holds no more than an ordinary one
	// is not closed for want of memory: otherwise calls that wait would shut out new ones.
	youngTime = time.Second
	// reservedDescriptors are for files, for the store and for links between instances, or
	// half of the descriptors if that is less.
	reservedDescriptors = 200
	// connBytes is what a connection without a request holds: two buffers of 4 KiB, the
	// stack of its goroutine and the state of net/http.
	connBytes = 16 << 10
	// requestBytes is what a request holds in addition to its header and its body: the
	// context, the attempts and the buffers of the connection to the backend server.
	requestBytes = 16 << 10
	// fieldBytes is what net/http holds for a header field without a value: the entry of
	// its map, the value and its slice.
	fieldBytes = 110
	// maxFields is the largest number of fields of a request. Callers send about 20.
	maxFields = 500
	// smallBytes is the most that a connection with an ordinary request holds.
	smallBytes = connBytes + requestBytes + 100*fieldBytes
	// unreadTimeout is the time within which a client has to take a part of an answer of
	// at most 32 KiB, and unreadTimeoutFull the same while the budget is nearly used up.
	unreadTimeout, unreadTimeoutFull = 20 * time.Second, 2 * time.Second
	sweepPeriod                      = 500 * time.Millisecond
	logPeriod                        = 5 * time.Second
)

// connShares are the parts of the descriptors that the connections of a listener may use.
// The rest is for connections to backend servers.
var connShares = [kindCount]float64{Callers: 0.5, Operators: 0.05, Peers: 0.3}

// Limiter accounts for the connections of all listeners. The exported fields are set
// before Listen. With Memory and Descriptors 0 it does nothing.
type Limiter struct {
	Memory      int64 // Bytes of the process; 0 means no limit.
	Descriptors int   // Most descriptors of the process; 0 means no limit.
	Log         *log.Logger

	held     atomic.Int64
	closed   [reasonCount]atomic.Uint64
	initOnce sync.Once
	start    time.Time     // Times of connections are relative to it.
	wake     chan struct{} // Receives a value when the budget is exceeded.

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	counts [kindCount]int
}

func (l *Limiter) init() {
	l.start, l.wake, l.conns = time.Now(), make(chan struct{}, 1), make(map[*Conn]struct{})
}

func (l *Limiter) isEnabled() bool { return l != nil && (l.Memory > 0 || l.Descriptors > 0) }

// Budget returns the most bytes that connections may hold, or 0 for no limit.
func (l *Limiter) Budget() int64 { return int64(budgetFraction * float64(l.Memory)) }

// Held returns the bytes that all connections hold.
func (l *Limiter) Held() int64 { return l.held.Load() }

// ConnCount returns the number of open connections.
func (l *Limiter) ConnCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ClosedCount returns the number of connections that were closed or refused for r.
func (l *Limiter) ClosedCount(r Reason) uint64 { return l.closed[r].Load() }

// maxConns returns the most connections of a listener, or 0 for no limit.
func (l *Limiter) maxConns(k Kind) int {
	if l.Descriptors == 0 {
		return 0
	}
	return max(1, int(connShares[k]*float64(l.Descriptors-min(reservedDescriptors, l.Descriptors/2))))
}

// isOver reports whether connections hold more than part of the budget.
func (l *Limiter) isOver(part float64) bool {
	return l.Memory > 0 && float64(l.held.Load()) > part*float64(l.Budget())
}

func (l *Limiter) now() int64 { return int64(time.Since(l.start)) }

// Listen returns a listener whose connections are accounted for, or ln if there is no
// limit.
func (l *Limiter) Listen(ln net.Listener, k Kind) net.Listener {
	if !l.isEnabled() {
		return ln
	}
	l.initOnce.Do(l.init)
	return &listener{ln, l, k}
}

// ConfigureServer connects the connections of a server with their requests. It is called
// after the other fields of s are set.
func (l *Limiter) ConfigureServer(s *http.Server, refuse http.Handler) {
	if !l.isEnabled() {
		return
	}
	s.Handler = &handler{Handler: s.Handler, limiter: l, refuse: refuse}
	s.ConnContext = addConn
	s.ConnState = stateHook{s.ConnState}.setState
	// By default a connection may send 1 MiB before the handler reads.
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: 64, MaxReceiveBufferPerConnection: 128 << 10, MaxReceiveBufferPerStream: 64 << 10}
}

// Concurrent returns a handler that serves at most n requests at a time, those for path
// exempt excepted, and refuses the others. It returns h if there is no limit of memory.
func (l *Limiter) Concurrent(h http.Handler, n int, exempt string, refuse http.Handler) http.Handler {
	if l.Memory == 0 {
		return h
	}
	return &concurrentHandler{Handler: h, exempt: exempt, refuse: refuse, running: make(chan struct{}, n)}
}

// Run closes connections while the limits are exceeded, until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	if !l.isEnabled() {
		return nil
	}
	l.initOnce.Do(l.init)
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	limit := rate.NewLimiter(rate.Every(logPeriod), 1)
	var logged [reasonCount]uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			l.relieve()
		case <-t.C:
			l.closeUnread()
			l.logClosed(limit, &logged)
		}
	}
}

// logClosed writes a line with the connections that were closed since the last one.
func (l *Limiter) logClosed(limit *rate.Limiter, logged *[reasonCount]uint64) {
	var now [reasonCount]uint64
	for r := range now {
		now[r] = l.closed[r].Load()
	}
	if now == *logged || !limit.Allow() {
		return
	}
	e := l.Log.Warn().Int64("held", l.Held()).Int64("budget", l.Budget()).Int("conns", l.ConnCount())
	for r, n := range now {
		e = e.Uint64(Reasons[r], n-logged[r])
	}
	e.Msg("limits: connections closed or refused")
	*logged = now
}
