package detector

import (
	"context"
	"sync/atomic"
	"time"
)

// ResumeGate holds requests back after a long pause of the process, or after its start,
// until the records are confirmed. An order of the operator may have come in the pause, and
// callers may have sent requests meanwhile; the first read at the start may be seconds old.
// The exported fields are set before the first call.
type ResumeGate struct {
	CheckPause  func()           // Calls RecordPause if the process was paused.
	ConfirmedAt func() time.Time // Time at which the records in use were last known to be those of the store.

	resumedAt atomic.Pointer[time.Time] // Start, or end of the last long pause; nil once the records are confirmed.
}

const (
	// minGatedPause is the length of a pause from which requests are held back. An order has
	// to be in effect within 5 s, and an instance that runs knows it within 2 s.
	minGatedPause = 3 * time.Second
	// maxGateTime bounds the time for which requests are held back. An instance with contact
	// to the store or to another instance has a confirmation before; any other one goes on
	// with what it knows, as it does while the store is unreachable.
	maxGateTime = time.Second
	// gatePollInterval is the time between two checks for a confirmation.
	gatePollInterval = 2 * time.Millisecond
)

// Hold makes the gate wait for a confirmation after now.
func (g *ResumeGate) Hold(now time.Time) { g.resumedAt.Store(&now) }

// RecordPause records that a pause of the given length ended at now.
func (g *ResumeGate) RecordPause(now time.Time, pause time.Duration) {
	if pause >= minGatedPause {
		g.Hold(now)
	}
}

// Await returns true when requests may be written, or false when ctx is done before.
func (g *ResumeGate) Await(ctx context.Context) bool {
	g.CheckPause()
	if g.IsOpen(time.Now()) {
		return true
	}
	t := time.NewTicker(gatePollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if g.IsOpen(time.Now()) {
			return true
		}
	}
}

// IsOpen reports whether requests may be written at now.
func (g *ResumeGate) IsOpen(now time.Time) bool {
	at := g.resumedAt.Load()
	if at == nil {
		return true
	}
	if now.Sub(*at) < maxGateTime && !g.ConfirmedAt().After(*at) {
		return false
	}
	return g.resumedAt.CompareAndSwap(at, nil)
}
