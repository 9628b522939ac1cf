package auditor

import (
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/flow/ringer"
)

// Change is one entry of the audit trail.
type Change struct {
	Time    time.Time
	Part    string // Part of the system: config, fleet, route, platform, instance.
	Subject string // What changed, for example a backend server.
	Cause   string
	Before  string
	After   string
}

// Auditor records changes; a nil Auditor drops them.
type Auditor struct {
	Log *log.Logger // nil means log.DefaultLogger.

	changes ringer.Ring[Change]
}

// Note records c; a zero Time means now. It waits for nothing but the log.
func (a *Auditor) Note(c Change) {
	if a == nil {
		return
	}
	if c.Time.IsZero() {
		c.Time = time.Now()
	}
	a.changes.Put(c)
	l := a.Log
	if l == nil {
		l = &log.DefaultLogger
	}
	l.Info().Str("subject", c.Subject).Str("cause", c.Cause).
		Str("before", c.Before).Str("after", c.After).Msg(c.Part + ": audited change")
}

// Changes returns the recorded changes, oldest first.
func (a *Auditor) Changes() []Change {
	if a == nil {
		return nil
	}
	return a.changes.Values()
}
