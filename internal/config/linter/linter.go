package linter

import (
	"fmt"
	"strings"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// Fixed limits of the instances.
const (
	maxHeaderBytes     = 64 << 10        // Largest request header under any limit.
	maxHeldBody        = 64 << 10        // Bytes of a longer body that are held for a repeat.
	connBufferBytes    = 16 << 10        // Buffers of a call with a body.
	defaultReadTimeout = 5 * time.Second // Time for a request header without limits.read.
)

// linter collects the warnings on one file.
type linter struct {
	keys     *parser.KeyLocator
	warnings []parser.Mistake
}

// warn records a warning on the value at path.
func (l *linter) warn(path, format string, args ...any) {
	l.warnings = append(l.warnings, l.keys.Locate(path, fmt.Sprintf(format, args...)))
}

// LintService returns the warnings on the service file that keys indexes.
func LintService(s *parser.Service, keys *parser.KeyLocator) []parser.Mistake {
	l := &linter{keys: keys}
	l.lintService("", s)
	l.lintQueue("", s, maxHeldBody)
	return l.warnings
}

// LintBundle returns the warnings on the parsed bundle b, whose text keys indexes.
func LintBundle(b *parser.Bundle, keys *parser.KeyLocator) []parser.Mistake {
	l := &linter{keys: keys}
	l.lintLimits(b)
	l.lintRules(b)
	bodyLimit := b.Limits.Body
	if bodyLimit == 0 {
		bodyLimit = maxHeldBody
	}
	for i := range b.Services {
		prefix := fmt.Sprintf("services.%d.", i)
		l.lintService(prefix, &b.Services[i])
		l.lintQueue(prefix, &b.Services[i], bodyLimit)
		l.lintUse(prefix, b, &b.Services[i])
	}
	return l.warnings
}

// LintAttempts returns a warning for each rule of b that allows a call more retries than
// the instances with settings s allow without regard to the number of calls.
func LintAttempts(b *parser.Bundle, s *parser.Settings, keys *parser.KeyLocator) []parser.Mistake {
	l := &linter{keys: keys}
	for i, r := range b.Rules {
		if slack, ok := s.Retry.Slack.Get(); ok && float64(r.Attempts-1) > slack {
			l.warn(fmt.Sprintf("rules.%d.attempts", i), "%d attempts of %s are more than retry.slack %v of instance %s allows one call",
				r.Attempts, ruleLabel(&r), slack, s.Name)
		}
	}
	return l.warnings
}

// lintLimits warns of limits of the bundle that instances or other limits exceed.
func (l *linter) lintLimits(b *parser.Bundle) {
	if b.Limits.Header > maxHeaderBytes {
		l.warn("limits.header", "%d bytes are above the %d that instances accept", b.Limits.Header, maxHeaderBytes)
	}
	read := b.Limits.Read.AsDuration()
	if read == 0 {
		read = defaultReadTimeout
	}
	if idle := b.Limits.Idle.AsDuration(); idle > 0 && idle < read {
		l.warn("limits.idle", "%v is below the time of %v for a request header (limits.read)", idle, read)
	}
}

// lintEncodedPath warns of the URL path v if it has percent-encoded characters.
func (l *linter) lintEncodedPath(path, v string) {
	if strings.Contains(v, "%") {
		l.warn(path, "%q is compared with decoded paths; write the characters themselves", v)
	}
}
