package sender

import (
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/call/estimator"
)

const (
	// A reused connection counts as silent when no byte of the response arrives
	// within firstByteTimeoutFactor times the 95th percentile of the latencies of
	// the service, limited to the range from minFirstByteTimeout to
	// maxFirstByteTimeout. With lognormal latencies of sigma 1, 0.3% of the calls
	// on a working connection take longer.
	firstByteTimeoutFactor = 3
	minFirstByteTimeout    = 50 * time.Millisecond
	maxFirstByteTimeout    = time.Second
	// A resend takes a token and returns it when the response arrives within the
	// first-byte timeout, which confirms that the first connection was silent.
	// maxResendTokens limits the resends that were not confirmed, and
	// resendTokensPerCall is the share of the calls of a service that may be resent
	// without confirmation. A slow backend server thus uses up the tokens, and a
	// silent connection does not.
	maxResendTokens     = 20.0
	resendTokensPerCall = 0.02
)

// resendPolicy determines for one service how long a call waits for the first
// byte of the response on a reused connection, and whether it may then be resent.
type resendPolicy struct {
	latencies *estimator.Estimator

	mu          sync.Mutex
	spentTokens float64 // Tokens taken and not yet returned or credited.
}

func newResendPolicy() *resendPolicy { return &resendPolicy{latencies: estimator.New()} }

// firstByteTimeout returns the longest wait for the first byte of a response; it
// is maxFirstByteTimeout while too few latencies are known.
func (p *resendPolicy) firstByteTimeout() time.Duration {
	percentile := p.latencies.Estimate()
	if percentile == 0 {
		return maxFirstByteTimeout
	}
	return min(max(firstByteTimeoutFactor*percentile, minFirstByteTimeout), maxFirstByteTimeout)
}

// creditCall adds the share of a token that each call contributes.
func (p *resendPolicy) creditCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spentTokens = max(p.spentTokens-resendTokensPerCall, 0)
}

// takeToken takes the token for a resend, or returns false when none is left.
func (p *resendPolicy) takeToken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spentTokens+1 > maxResendTokens {
		return false
	}
	p.spentTokens++
	return true
}

// refundToken returns the token of a resend that was confirmed.
func (p *resendPolicy) refundToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spentTokens = max(p.spentTokens-1, 0)
}

// firstByteTimer closes a connection when no byte of the response arrives in time.
type firstByteTimer struct {
	policy *resendPolicy
	conn   *pooledConn
	timer  *time.Timer

	mu      sync.Mutex
	stopped bool
	fired   bool // The connection was closed as silent.
}

// startTimer starts a timer that closes conn after timeout when it is silent then
// and a token is left, unless stop is called before.
func (p *resendPolicy) startTimer(conn *pooledConn, timeout time.Duration) *firstByteTimer {
	t := &firstByteTimer{policy: p, conn: conn}
	t.timer = time.AfterFunc(timeout, t.closeSilentConn)
	return t
}

// closeSilentConn closes the connection unless the timer was stopped, the response
// has begun or no token is left.
func (t *firstByteTimer) closeSilentConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.conn.tracked.hasResponseByte() || !t.policy.takeToken() {
		return
	}
	t.fired = true
	t.conn.tracked.stopWrites()
	_ = t.conn.Close()
}

// stop stops the timer and reports whether the connection was closed as silent.
func (t *firstByteTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	return t.fired
}

// resendPolicy returns the policy of a service, which it creates if needed.
func (s *Sender) resendPolicy(service string) *resendPolicy {
	s.initOnce.Do(s.initialize)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.resendPolicies[service]
	if p == nil {
		p = newResendPolicy()
		s.resendPolicies[service] = p
	}
	return p
}
