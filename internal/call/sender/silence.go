package sender

import (
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/call/estimator"
)

const (
	// A repeatable call without a byte of its answer after patienceFactor x the
	// 95th percentile of its service, within the two bounds, takes its reused
	// connection for silent. With lognormal times of sigma 1, 0.3% of the calls
	// on a connection that works take longer.
	firstByteTimeoutFactor = 3
	minFirstByteTimeout    = 50 * time.Millisecond
	maxFirstByteTimeout    = time.Second
	// maxResendTokens bounds the repeats that were not confirmed, and repeatShare
	// is the share of a service's calls that may be repeated without being
	// confirmed: a slow server uses the tokens up, a silent connection does not.
	maxResendTokens     = 20.0
	resendTokensPerCall = 0.02
)

// resendPolicy decides how long the calls of one service wait on a reused
// connection before they are sent again.
type resendPolicy struct {
	latencies *estimator.Estimator

	mu          sync.Mutex
	spentTokens float64
}

func newResendPolicy() *resendPolicy { return &resendPolicy{latencies: estimator.New()} }

func (p *resendPolicy) firstByteTimeout() time.Duration {
	percentile := p.latencies.Estimate()
	if percentile == 0 {
		return maxFirstByteTimeout
	}
	return min(max(firstByteTimeoutFactor*percentile, minFirstByteTimeout), maxFirstByteTimeout)
}

func (p *resendPolicy) creditCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spentTokens = max(p.spentTokens-resendTokensPerCall, 0)
}

func (p *resendPolicy) takeToken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.spentTokens+1 > maxResendTokens {
		return false
	}
	p.spentTokens++
	return true
}

// refundToken gives back the token of a repeat that was confirmed.
func (p *resendPolicy) refundToken() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spentTokens = max(p.spentTokens-1, 0)
}

// firstByteTimer closes a connection that gives no byte of an answer in time.
type firstByteTimer struct {
	policy *resendPolicy
	conn   *pooledConn
	timer  *time.Timer

	mu      sync.Mutex
	stopped bool
	fired   bool
}

// startTimer closes the connection of l after patience unless stop is called before.
func (p *resendPolicy) startTimer(conn *pooledConn, timeout time.Duration) *firstByteTimer {
	t := &firstByteTimer{policy: p, conn: conn}
	t.timer = time.AfterFunc(timeout, t.closeSilentConn)
	return t
}

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

// stop ends the watch and reports whether the connection was closed as silent.
func (t *firstByteTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	return t.fired
}

// resendPolicy returns the watcher of a service.
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
