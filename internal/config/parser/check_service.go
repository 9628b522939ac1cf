package parser

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// definitions maps each name, host or rule that must be unique to the file and
// line of its first definition.
type definitions map[string]string

// checkBundle checks a bundle with its limits, services and rules.
func (c *checker) checkBundle(b *Bundle) {
	if !c.converted {
		c.checkVersions(b)
	}
	// A bundle without services would stop all services at once, which is
	// never intended.
	if len(b.Services) == 0 && !c.converted {
		c.addMistake("services", "is required; a bundle holds at least one service")
	}
	defined := make(definitions)
	for i := range b.Services {
		prefix := joinPath("services", strconv.Itoa(i))
		c.checkService(prefix, &b.Services[i])
		c.addServiceDefinitions(prefix, &b.Services[i], defined)
	}
	checkRange(c, "limits.header", b.Limits.Header, 1, math.MaxInt)
	checkRange(c, "limits.body", b.Limits.Body, 1, math.MaxInt)
	checkRange(c, "limits.read", b.Limits.Read, Duration(time.Millisecond), Duration(time.Hour))
	checkRange(c, "limits.idle", b.Limits.Idle, Duration(time.Millisecond), Duration(maxDeadline))
	c.checkRules(b)
}

// checkVersions checks the versions of a bundle.
func (c *checker) checkVersions(b *Bundle) {
	if c.requireKey("version") && b.Version == 0 {
		c.addMistake("version", "must be above 0")
	}
	if (c.index == nil || c.isSet("parent")) && b.Parent >= b.Version {
		c.addMistake("parent", "%d is not below version %d", b.Parent, b.Version)
	}
}

// checkRules checks the rules of a bundle. Each pair of host and path must occur
// once, and each part must name a service of the bundle.
func (c *checker) checkRules(b *Bundle) {
	services := make(map[string]bool, len(b.Services))
	for i := range b.Services {
		services[b.Services[i].Name] = true
	}
	defined := make(definitions)
	for i := range b.Rules {
		r, prefix := &b.Rules[i], joinPath("rules", strconv.Itoa(i))
		if !c.converted {
			c.checkMatch(prefix, r, defined)
			c.checkParts(prefix, r.Parts, services)
		}
		checkRange(c, joinPath(prefix, "deadline"), r.Deadline, Duration(time.Millisecond), Duration(maxDeadline))
		checkRange(c, joinPath(prefix, "target"), r.Target, Duration(time.Millisecond), Duration(maxDeadline))
		checkRange(c, joinPath(prefix, "attempts"), r.Attempts, 1, MaxAttempts)
	}
}

// checkMatch checks which calls r matches, and their rank; defined has the rules before.
func (c *checker) checkMatch(prefix string, r *Rule, defined definitions) {
	c.checkHosts(joinPath(prefix, "host"), []string{r.Host})
	c.checkPath(joinPath(prefix, "path"), r.Path)
	if !strings.HasSuffix(r.Path, "/") {
		c.addMistake(joinPath(prefix, "path"), "%q does not end with /", r.Path)
	}
	c.requireKey(joinPath(prefix, "rank"))
	c.addDefinition(joinPath(prefix, "path"), "rule for "+r.Host+r.Path, defined)
}

// checkParts checks the parts of a rule; services holds the names of the services
// in the bundle.
func (c *checker) checkParts(prefix string, parts []Part, services map[string]bool) {
	total := 0.0
	for j, p := range parts {
		path := joinPath(joinPath(prefix, "parts"), strconv.Itoa(j))
		if !services[p.Service] {
			c.addMistake(joinPath(path, "service"), "%q is not a service of the bundle", p.Service)
		}
		if !(p.Weight >= 0 && p.Weight <= MaxPartWeight) { // The negated form also rejects NaN.
			c.addMistake(joinPath(path, "weight"), "%v is not between 0 and %d", p.Weight, MaxPartWeight)
		}
		total += max(p.Weight, 0)
	}
	if total == 0 {
		c.addMistake(joinPath(prefix, "parts"), "no part has a weight above 0")
	}
}

// checkService checks the service whose keys start with prefix, which is empty in a
// service file.
func (c *checker) checkService(prefix string, s *Service) {
	if !c.converted {
		c.checkName(joinPath(prefix, "name"), s.Name)
	}
	if s.Name == reservedServiceName && !c.converted {
		c.addMistake(joinPath(prefix, "name"), "%q is reserved for paths of the instance itself", s.Name)
	}
	slots := joinPath(prefix, "slots")
	if c.requireKey(slots) {
		checkRange(c, slots, s.Slots, 1, MaxSlots)
	}
	checkRange(c, joinPath(prefix, "connections"), s.Connections, 1, MaxSlots)
	effective := s.WithDefaults()
	if effective.Connections < s.Slots {
		c.addMistake(joinPath(prefix, "connections"), "%d connections cannot serve %d slots", effective.Connections, s.Slots)
	}
	checkRange(c, joinPath(prefix, "deadline"), s.Deadline, Duration(time.Millisecond), Duration(maxDeadline))
	checkRange(c, joinPath(prefix, "fill"), s.Fill, minFill, 1)
	c.checkHosts(joinPath(prefix, "hosts"), s.Hosts)
	c.checkFloors(joinPath(prefix, "floors"), s, &effective)
	checkRange(c, joinPath(prefix, "queue.calls"), s.Queue.Calls, 1, 1<<20)
	checkRange(c, joinPath(prefix, "queue.bytes"), s.Queue.Bytes, 1, math.MaxInt)
	c.checkProbe(joinPath(prefix, "probe"), s.Probe, effective.Probe)
	checkRange(c, joinPath(prefix, "cold.time"), s.Cold.Time, 0, Duration(time.Hour))
	checkRange(c, joinPath(prefix, "cold.rate"), s.Cold.Rate, 0, MaxColdRate)
	c.checkRoutes(joinPath(prefix, "routes"), s.Routes)
}

// checkHosts checks that hosts are lower-case host names without a port.
func (c *checker) checkHosts(prefix string, hosts []string) {
	for i, h := range hosts {
		path := joinPath(prefix, strconv.Itoa(i))
		switch {
		case h != strings.ToLower(h):
			c.addMistake(path, "%q has upper-case letters", h)
		case !hostPattern.MatchString(h):
			c.addMistake(path, "%q is not a host name without port", h)
		}
	}
}

// checkFloors checks each floor that s sets, and the sum of the floors in effective,
// which is s with defaults.
func (c *checker) checkFloors(prefix string, s, effective *Service) {
	for _, f := range []struct {
		key   string
		value float64
	}{{"normal", s.Floors.Normal}, {"patient", s.Floors.Patient}} {
		path := joinPath(prefix, f.key)
		if f.value == 0 && hasValue(c, path, f.value) {
			c.addMistake(path, "0 is not a floor; leave the key out for the default")
			continue
		}
		checkRange(c, path, f.value, 0, maxFloorSum)
	}
	// The tolerance of 1e-9 allows for decimal fractions that a float64 only approximates.
	if sum := effective.Floors.Normal + effective.Floors.Patient; sum > maxFloorSum+1e-9 && !c.pathsWithMistake[joinPath(prefix, "normal")] && !c.pathsWithMistake[joinPath(prefix, "patient")] {
		c.addMistake(prefix, "normal %v and patient %v sum to over %v", effective.Floors.Normal, effective.Floors.Patient, maxFloorSum)
	}
}

// checkProbe checks each key that p sets, and that budget and total in effective,
// which is p with defaults, are at least twice the cost of a probe.
func (c *checker) checkProbe(prefix string, p, effective Probe) {
	if !c.converted && hasValue(c, joinPath(prefix, "path"), p.Path) {
		c.checkPath(joinPath(prefix, "path"), p.Path)
	}
	lowest, highest := Duration(time.Microsecond), Duration(time.Second)
	checkRange(c, joinPath(prefix, "cost"), p.Cost, lowest, highest)
	checkRange(c, joinPath(prefix, "budget"), p.Budget, lowest, highest)
	checkRange(c, joinPath(prefix, "total"), p.Total, lowest, Duration(time.Hour))
	checkRange(c, joinPath(prefix, "fresh"), p.Fresh, lowest, highest)
	checkRange(c, joinPath(prefix, "period"), p.Period, Duration(minProbePeriod), Duration(time.Hour))
	if c.pathsWithMistake[joinPath(prefix, "cost")] {
		return
	}
	if effective.Budget < 2*effective.Cost {
		c.addMistake(joinPath(prefix, "budget"), "%v is below twice the cost of %v", effective.Budget.AsDuration(), effective.Cost.AsDuration())
	}
	if effective.Total < 2*effective.Cost {
		c.addMistake(joinPath(prefix, "total"), "%v is below twice the cost of %v", effective.Total.AsDuration(), effective.Cost.AsDuration())
	}
}

// checkRoutes checks each route, and that no route is unreachable behind earlier ones.
func (c *checker) checkRoutes(prefix string, routes []Route) {
	for i := range routes {
		r := &routes[i]
		routePrefix := joinPath(prefix, strconv.Itoa(i))
		if c.requireKey(joinPath(routePrefix, "path")) {
			c.checkPath(joinPath(routePrefix, "path"), r.Path)
		}
		// The zero value of Rank is Urgent, so a route whose rank was forgotten
		// would be urgent.
		c.requireKey(joinPath(routePrefix, "rank"))
		checkRange(c, joinPath(routePrefix, "deadline"), r.Deadline, Duration(time.Millisecond), Duration(maxDeadline))
		seen := make(map[string]bool)
		for j, m := range r.Methods {
			path := joinPath(joinPath(routePrefix, "methods"), strconv.Itoa(j))
			if !methodPattern.MatchString(m) {
				c.addMistake(path, "%q is not a method in upper-case letters", m)
			} else if seen[m] {
				c.addMistake(path, "%q appears twice", m)
			}
			seen[m] = true
		}
		if shadowing := shadowingRoutes(routes[:i], r); shadowing != nil && !c.pathsWithMistake[joinPath(routePrefix, "path")] {
			c.addMistake(routePrefix, "route %q can never match; earlier routes take its calls: %s", r.Path, strings.Join(shadowing, ", "))
		}
	}
}

// addServiceDefinitions adds the name and the hosts of s to defined and records a
// mistake for each that is already there.
func (c *checker) addServiceDefinitions(prefix string, s *Service, defined definitions) {
	if s.Name != "" {
		c.addDefinition(joinPath(prefix, "name"), "service "+s.Name, defined)
	}
	for i, h := range s.Hosts {
		c.addDefinition(joinPath(joinPath(prefix, "hosts"), strconv.Itoa(i)), "host "+h, defined)
	}
}

// addDefinition adds subject, which the file defines at path, to defined. It records
// a mistake if subject is already there.
func (c *checker) addDefinition(path, subject string, defined definitions) {
	if location := defined[subject]; location != "" {
		c.addMistake(path, "%s is already defined at %s", subject, location)
		return
	}
	defined[subject] = c.file + ":" + c.place(path)
}
