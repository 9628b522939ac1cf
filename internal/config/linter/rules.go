package linter

import (
	"fmt"

	"sardinelever.example/sardinelever/internal/config/parser"
)

// ruleLabel returns the name, host and path of r for messages.
func ruleLabel(r *parser.Rule) string {
	return "rule " + r.Name + " (" + r.Host + r.Path + ")"
}

// lintRules warns of rules that repeat or contradict others, and of their parts. The
// parser refuses two rules for the same host and path; of others, each is the one with
// the longest path for some call, so that no rule hides another one.
func (l *linter) lintRules(b *parser.Bundle) {
	servicePositions := make(map[string]int, len(b.Services))
	for i := range b.Services {
		servicePositions[b.Services[i].Name] = i
	}
	ruleByName := make(map[string]*parser.Rule)
	for i := range b.Rules {
		r, prefix := &b.Rules[i], fmt.Sprintf("rules.%d.", i)
		if first := ruleByName[r.Name]; first != nil && r.Name != "" {
			l.warn(prefix+"name", "%s has the name of %s; logs and metrics do not tell them apart", ruleLabel(r), ruleLabel(first))
		} else {
			ruleByName[r.Name] = r
		}
		l.lintEncodedPath(prefix+"path", r.Path)
		if r.Target > r.Deadline {
			l.warn(prefix+"target", "target %v of %s is above its deadline %v", r.Target.AsDuration(), ruleLabel(r), r.Deadline.AsDuration())
		}
		l.lintParts(prefix, r)
		l.lintRuleDeadline(prefix, r, b, servicePositions)
	}
}

// lintParts warns of parts that receive no calls and of repeated services.
func (l *linter) lintParts(prefix string, r *parser.Rule) {
	seen := make(map[string]bool)
	for i, p := range r.Parts {
		path := fmt.Sprintf("%sparts.%d.", prefix, i)
		if p.Weight == 0 {
			l.warn(path+"weight", "service %s has weight 0 in %s and gets none of its calls", p.Service, ruleLabel(r))
		}
		if seen[p.Service] {
			l.warn(path+"service", "service %s occurs twice in %s; its weights add up", p.Service, ruleLabel(r))
		}
		seen[p.Service] = true
	}
}

// lintRuleDeadline warns if the deadline of r is above every deadline that one of its
// services states.
func (l *linter) lintRuleDeadline(prefix string, r *parser.Rule, b *parser.Bundle, servicePositions map[string]int) {
	seen := make(map[string]bool)
	for _, p := range r.Parts {
		if p.Weight == 0 || seen[p.Service] {
			continue
		}
		seen[p.Service] = true
		position, isService := servicePositions[p.Service]
		if !isService {
			continue // The rule was made from another format.
		}
		if longest := l.longestStatedDeadline(position, b); longest > 0 && r.Deadline > longest {
			l.warn(prefix+"deadline", "deadline %v of %s is above %v, the longest of service %s",
				r.Deadline.AsDuration(), ruleLabel(r), longest.AsDuration(), p.Service)
		}
	}
}

// longestStatedDeadline returns the longest deadline that service i and its routes have
// in the file, 0 if they have none.
func (l *linter) longestStatedDeadline(i int, b *parser.Bundle) (longest parser.Duration) {
	prefix := fmt.Sprintf("services.%d.", i)
	if l.keys.IsSet(prefix + "deadline") {
		longest = b.Services[i].Deadline
	}
	for j, r := range b.Services[i].Routes {
		if l.keys.IsSet(fmt.Sprintf("%sroutes.%d.deadline", prefix, j)) {
			longest = max(longest, r.Deadline)
		}
	}
	return longest
}
