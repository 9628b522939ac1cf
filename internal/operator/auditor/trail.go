package auditor

import (
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/flow/ringer"
)

// Change is an entry of the audit trail.
type Change struct {
	Time    time.Time
	Part    string // Component of the instance: config, fleet, route, platform or instance.
	Subject string // What changed, for example a backend server.
	Cause   string
	Before  string
	After   string
}

// Auditor is an audit trail. A nil Trail discards changes. It is safe for
// concurrent use.
type Auditor struct {
	Log *log.Logger // nil means log.DefaultLogger.

	changes ringer.Ring[Change]
}

// Note records c. A zero Time means now. It blocks only as long as the writer of the
// log does.
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
