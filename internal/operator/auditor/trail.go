package auditor

import (
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/flow/buffer"
)

// Change is an entry of the audit trail.
type Change struct {
	Time      time.Time
	Component string // Component of the instance: config, fleet, route, platform or instance.
	Subject   string // What changed, for example a backend server.
	Cause     string
	Before    string
	After     string
}

// Trail is an audit trail. A nil *Trail discards all changes. It is safe for
// concurrent use.
type Trail struct {
	Log *log.Logger // nil means log.DefaultLogger.

	changes buffer.RingBuffer[Change]
}

// RecordChange records c. A zero Time means now. It blocks only as long as the writer
// of the log does.
func (t *Trail) RecordChange(c Change) {
	if t == nil {
		return
	}
	if c.Time.IsZero() {
		c.Time = time.Now()
	}
	t.changes.Append(c)
	l := t.Log
	if l == nil {
		l = &log.DefaultLogger
	}
	l.Info().Str("subject", c.Subject).Str("cause", c.Cause).
		Str("before", c.Before).Str("after", c.After).Msg(c.Component + ": audited change")
}

// Changes returns the recorded changes, oldest first.
func (t *Trail) Changes() []Change {
	if t == nil {
		return nil
	}
	return t.changes.Values()
}
