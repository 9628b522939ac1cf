package withholder

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// RecordPause records that l wants no requests and probes from this instance for
// length. It never shortens the time that l asked for before.
func (w *Withholder) RecordPause(now time.Time, l Lifetime, length time.Duration, source Source) {
	if w == nil || l.Name == "" || length <= 0 {
		return
	}
	w.mu.Lock()
	s := w.stateOf(now, l)
	before := max(s.pause.remaining(now), 0)
	spread := min(time.Duration(pauseSpread*float64(length)), maxPauseSpread)
	changed := before < length && s.pause.extend(now, length+rand.N(spread+1))
	s.listedAt = now
	if changed && before == 0 {
		w.notify()
	}
	w.mu.Unlock()
	if changed {
		if w.Metrics != nil {
			w.Metrics.Pauses.WithLabelValues(source.kind()).Inc()
		}
		w.Audit.RecordChange(auditor.Change{
			Time: now, Component: "route", Subject: l.Name, Cause: "pause asked for by the server: " + string(source),
			Before: "wait " + before.String(), After: "wait " + length.String(),
		})
	}
}

// RecordInvalidPause logs, once for each lifetime, that l asked for a pause of a time
// that is not valid.
func (w *Withholder) RecordInvalidPause(now time.Time, l Lifetime, value string) {
	if w == nil || l.Name == "" {
		return
	}
	w.mu.Lock()
	s := w.stateOf(now, l)
	logged := s.invalidLogged
	s.invalidLogged = true
	w.mu.Unlock()
	if !logged {
		w.logger().Warn().Str("server", l.Name).Str("value", value[:min(len(value), maxLoggedBytes)]).Msg("route: invalid time of a pause ignored")
	}
}

func (w *Withholder) logger() *log.Logger {
	if w.Log == nil {
		return &log.DefaultLogger
	}
	return w.Log
}

// maxLoggedBytes bounds the value of a header in a log line.
const maxLoggedBytes = 64

// PauseOf returns how long no further request and no probe may start at l because of
// its pause; 0 means that one may start now.
func (w *Withholder) PauseOf(now time.Time, l Lifetime) time.Duration {
	if !w.HasStatements() {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.servers[l]; s != nil {
		return s.pause.wait(now)
	}
	return 0
}

// TryStart reports whether a request or a probe may start at l now, and counts it if
// so. It is called immediately before the first byte is written.
func (w *Withholder) TryStart(now time.Time, l Lifetime) bool {
	if !w.HasStatements() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[l]
	return s == nil || !s.leaving && s.pause.start(now)
}

// PausedServers returns the number of lifetimes that want no requests now.
func (w *Withholder) PausedServers(now time.Time) (n int) {
	if !w.HasStatements() {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if s.pause.length > 0 && s.pause.remaining(now) > 0 {
			n++
		}
	}
	return n
}
