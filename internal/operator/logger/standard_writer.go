package logger

import (
	"strings"
	"sync"
	"unicode"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// maxTextBytes bounds the text of one message. net/http quotes up to 4 KiB that a
	// backend server sent; the first frames of a stack trace need more than 1 KiB.
	maxTextBytes = 2 << 10
	// Messages that a backend server can cause with each of its responses must not hide
	// other lines: at most standardLinesPerSecond, after standardBurst at once.
	standardLinesPerSecond = 1
	standardBurst          = 20
)

// StandardWriter is the output of the standard library's logger, to which net/http
// reports what it finds on connections. It logs each message as one line of bounded
// length, at a bounded rate.
type StandardWriter struct {
	Log *log.Logger // nil means log.DefaultLogger.

	mu      sync.Mutex
	limiter *rate.Limiter // nil before the first message.
	dropped int64         // Messages dropped since the last line.
}

// Write logs one message of the standard library's logger. It returns no error.
func (w *StandardWriter) Write(message []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limiter == nil {
		w.limiter = rate.NewLimiter(standardLinesPerSecond, standardBurst)
	}
	if !w.limiter.Allow() {
		w.dropped++
		return len(message), nil
	}
	l := w.Log
	if l == nil {
		l = &log.DefaultLogger
	}
	text := strings.Map(replaceControl, string(message[:min(len(message), maxTextBytes)]))
	l.Warn().Str("text", strings.TrimSpace(text)).Int64("dropped", w.dropped).Msg("call: net/http reports a connection")
	w.dropped = 0
	return len(message), nil
}

// replaceControl replaces control characters that log.Logger writes as they are, which
// JSON does not allow.
func replaceControl(r rune) rune {
	if unicode.IsControl(r) && r != '\n' && r != '\t' {
		return ' '
	}
	return r
}
