package allocator

import (
	"math"
	"time"
)

const (
	// forecastPeriod is the time constant of the measured rates. Which servers are
	// slow changes about every 500 ms, so rates older than that say little.
	forecastPeriod = 500 * time.Millisecond
	// forecastPrior is the time for which the rate that the slots promise counts
	// beside the measured one, which rests on few requests at first.
	forecastPrior = 100 * time.Millisecond
)

// drainMeter measures the rate at which requests leave a queue while requests wait
// in it: by a grant, or by a withdrawal, because a home of another pool granted.
// The amount is their number or their expected work.
type drainMeter struct {
	drained   float64       // Amount that left, with exponentially decaying weight.
	busy      time.Duration // Time for which requests waited, with the same weight.
	waiting   bool
	updatedAt time.Time
}

// advance decays the measurement up to now; waiting tells whether requests wait
// from now on.
func (m *drainMeter) advance(now time.Time, waiting bool) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 && !m.updatedAt.IsZero() {
		weight := math.Exp(-float64(elapsed) / float64(forecastPeriod))
		m.drained *= weight
		m.busy = time.Duration(weight * float64(m.busy))
		if m.waiting {
			m.busy += time.Duration((1 - weight) * float64(forecastPeriod))
		}
	}
	m.updatedAt, m.waiting = now, waiting
}

// wait returns the time until amount has left the queue. The amount that would
// leave in a second by the slots of the service, perSecond, is the rate while none
// was measured.
func (m *drainMeter) wait(now time.Time, amount, perSecond float64) time.Duration {
	m.advance(now, m.waiting)
	perSecond = (m.drained + perSecond*forecastPrior.Seconds()) / (m.busy + forecastPrior).Seconds()
	return time.Duration(min(amount/max(perSecond, 1e-9), maxForecast.Seconds()) * float64(time.Second))
}

// maxForecast is the longest wait that is predicted. It exceeds the targets of calls.
const maxForecast = 10 * time.Second

// Prospects of a request with a predictable wait. Both are shares of the time that
// is left until it has to start to meet its target.
const (
	// admittedShare is the longest predicted wait of a new request. The rest is a
	// margin for the slowdown of the servers.
	admittedShare = 0.85
	// keptShare is the longest predicted wait of a request that waits. It is higher,
	// so that a passing drop of the rate refuses no request that has waited long.
	keptShare = 1.0
)

// hasProspect reports whether a call will start soon enough for its target if it
// waits for predicted and has left until it must start.
func hasProspect(predicted, left time.Duration, admitted bool) bool {
	share := admittedShare
	if admitted {
		share = keptShare
	}
	return left > 0 && float64(predicted) <= share*float64(left)
}
