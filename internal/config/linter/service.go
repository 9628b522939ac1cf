package linter

import (
	"fmt"
	"slices"
	"strings"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// lintService warns of the service whose keys start with prefix.
func (l *linter) lintService(prefix string, s *parser.Service) {
	effective := s.WithDefaults()
	switch {
	case s.Cold.Time > 0 && s.Cold.Rate == 0:
		l.warn(prefix+"cold.time", "cold.time of service %s has no effect without cold.rate", s.Name)
	case s.Cold.Rate > 0 && s.Cold.Time == 0:
		l.warn(prefix+"cold.rate", "cold.rate of service %s applies only to backend servers that state how long they are cold, because cold.time is not set", s.Name)
	}
	if f := effective.Floors; f.Patient > f.Normal {
		l.warn(prefix+"floors", "service %s keeps a larger share for patient calls (%v) than for normal ones (%v)", s.Name, f.Patient, f.Normal)
	}
	l.lintProbe(prefix+"probe.", s.Name, effective.Probe)
	for i := range s.Routes {
		l.lintEncodedPath(fmt.Sprintf("%sroutes.%d.path", prefix, i), s.Routes[i].Path)
		if taken := takenMethods(s.Routes[:i], &s.Routes[i]); len(taken) > 0 {
			l.warn(fmt.Sprintf("%sroutes.%d.methods", prefix, i), "%s of route %q never match; earlier routes of service %s take them",
				strings.Join(taken, ", "), s.Routes[i].Path, s.Name)
		}
	}
}

// lintProbe warns of probe settings that cannot be met together. The parser refuses
// costs that exceed half of budget or total.
func (l *linter) lintProbe(prefix, service string, p parser.Probe) {
	if p.Total < p.Budget {
		l.warn(prefix+"total", "probes of all servers of service %s may take %v, less than the budget of %v of one of them", service, p.Total.AsDuration(), p.Budget.AsDuration())
	}
	if p.Fresh > 0 && p.Fresh < p.Cost {
		l.warn(prefix+"fresh", "load reports of service %s are older than %v when a probe with the cost %v ends", service, p.Fresh.AsDuration(), p.Cost.AsDuration())
	}
}

// takenMethods returns the methods of r whose calls earlier routes always take. The
// parser refuses routes of which nothing is left.
func takenMethods(earlier []parser.Route, r *parser.Route) (taken []string) {
	for _, method := range r.Methods {
		if slices.ContainsFunc(earlier, func(e parser.Route) bool {
			return strings.HasPrefix(r.Path, e.Path) && slices.Contains(e.Methods, method)
		}) {
			taken = append(taken, method)
		}
	}
	return taken
}

// lintQueue warns if s always refuses the largest bodies of up to limit bytes, because
// one of them takes more than its queue may hold.
func (l *linter) lintQueue(prefix string, s *parser.Service, limit int) {
	if need := min(limit, maxHeldBody) + connBufferBytes; s.Queue.Bytes > 0 && s.Queue.Bytes < need {
		l.warn(prefix+"queue.bytes", "service %s refuses the largest bodies: one call takes up to %d bytes, more than %d", s.Name, need, s.Queue.Bytes)
	}
}

// lintUse warns of what b does not use of its service s.
func (l *linter) lintUse(prefix string, b *parser.Bundle, s *parser.Service) {
	if len(b.Rules) == 0 {
		return // All services are reached by their hosts or names.
	}
	if !slices.ContainsFunc(b.Rules, func(r parser.Rule) bool {
		return slices.ContainsFunc(r.Parts, func(p parser.Part) bool { return p.Service == s.Name && p.Weight > 0 })
	}) {
		l.warn(prefix+"name", "no rule sends calls to service %s", s.Name)
	}
	if len(s.Hosts) > 0 {
		l.warn(prefix+"hosts", "hosts of service %s have no effect in a bundle with rules", s.Name)
	}
	if len(s.Routes) > 0 {
		l.warn(prefix+"routes", "routes of service %s have no effect in a bundle with rules", s.Name)
	}
}
