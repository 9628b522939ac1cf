package withholder

import (
	"time"

	"sardinelever.example/sardinelever/internal/instance/detector"
)

// pause is the time for which a server wants no requests from this instance, and the
// slow start after it. The zero value is none.
type pause struct {
	saidAt  time.Time     // Time of the statement with the latest end.
	length  time.Duration // From saidAt.
	started int           // Requests and probes since the end.
	firstAt time.Time     // Time of the first of them.
}

const (
	// slowStartStep is the time, from the first request after a pause, in which the
	// requests that may start double. It is several times the duration of a short call, so that a
	// server that is still full can say so before it gets more.
	slowStartStep = 100 * time.Millisecond
	// slowStartSteps is the number of steps after which the slow start ends. The last
	// one has 32 requests, the usual share of one instance in such a time.
	slowStartSteps = 5
	// slowStartRequests is the number of requests of the first step: a probe and a call.
	slowStartRequests = 2
	// pauseSpread is the part of a pause, up to maxPauseSpread, that is added to it at
	// random, so that the instances do not return together.
	pauseSpread    = 0.1
	maxPauseSpread = 500 * time.Millisecond
)

// extend sets the end to now plus length if that is later than the present one, and
// reports whether it did.
func (p *pause) extend(now time.Time, length time.Duration) bool {
	if length <= 0 || p.remaining(now) >= length {
		return false
	}
	*p = pause{saidAt: now, length: length}
	return true
}

// remaining returns the time until the end, negative after it. A suspension of the
// machine counts.
func (p *pause) remaining(now time.Time) time.Duration {
	return p.length - detector.Elapsed(p.saidAt, now)
}

// wait returns how long no further request may start; 0 means that one may start now.
func (p *pause) wait(now time.Time) time.Duration {
	if p.length == 0 {
		return 0
	}
	if left := p.remaining(now); left > 0 {
		return left
	}
	if p.started == 0 {
		return 0
	}
	since := max(now.Sub(p.firstAt), 0)
	for step := int(since / slowStartStep); step < slowStartSteps; step++ {
		if p.started < slowStartRequests<<step {
			return max(time.Duration(step)*slowStartStep-since, 0)
		}
	}
	return max(slowStartSteps*slowStartStep-since, 0)
}

// start counts a request if one may start now, and reports whether it may.
func (p *pause) start(now time.Time) bool {
	if p.wait(now) > 0 {
		return false
	}
	if p.length > 0 {
		if p.started == 0 {
			p.firstAt = now
		}
		p.started++
	}
	return true
}
