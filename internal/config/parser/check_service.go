package parser

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// unique holds where names and hosts of services were first seen.
type unique map[string]string

func (c *checker) bundle(b *Bundle) {
	if c.required("version") && b.Version == 0 {
		c.add("version", "must be above 0")
	}
	if c.has("parent") && b.Parent >= b.Version {
		c.add("parent", "%d is not below version %d", b.Parent, b.Version)
	}
	// An empty bundle would end every service at once, which no operator intends.
	if len(b.Services) == 0 {
		c.add("services", "is required; a bundle holds at least one service")
	}
	u := make(unique)
	for i := range b.Services {
		prefix := join("services", strconv.Itoa(i))
		c.service(prefix, &b.Services[i])
		c.unique(prefix, &b.Services[i], u)
	}
	number(c, "limits.header", b.Limits.Header, 1, math.MaxInt)
	number(c, "limits.body", b.Limits.Body, 1, math.MaxInt)
	number(c, "limits.read", b.Limits.Read, Duration(time.Millisecond), Duration(time.Hour))
	number(c, "limits.idle", b.Limits.Idle, Duration(time.Millisecond), Duration(maxDeadline))
	c.rules(b)
}

// rules checks the rules of a bundle: each host and path occurs once, and each
// part names a service of the bundle.
func (c *checker) rules(b *Bundle) {
	services := make(map[string]bool, len(b.Services))
	for i := range b.Services {
		services[b.Services[i].Name] = true
	}
	seen := make(unique)
	for i := range b.Rules {
		r, at := &b.Rules[i], join("rules", strconv.Itoa(i))
		c.hosts(join(at, "host"), []string{r.Host})
		c.path(join(at, "path"), r.Path)
		if !strings.HasSuffix(r.Path, "/") {
			c.add(join(at, "path"), "%q does not end with /", r.Path)
		}
		c.required(join(at, "rank"))
		c.first(join(at, "path"), "rule for "+r.Host+r.Path, seen)
		number(c, join(at, "deadline"), r.Deadline, Duration(time.Millisecond), Duration(maxDeadline))
		number(c, join(at, "target"), r.Target, Duration(time.Millisecond), Duration(maxDeadline))
		number(c, join(at, "attempts"), r.Attempts, 1, MaxAttempts)
		c.parts(at, r.Parts, services)
	}
}

func (c *checker) parts(at string, parts []Part, services map[string]bool) {
	total := 0
	for j, p := range parts {
		path := join(join(at, "parts"), strconv.Itoa(j))
		if !services[p.Service] {
			c.add(join(path, "service"), "%q is not a service of the bundle", p.Service)
		}
		if p.Weight < 0 || p.Weight > maxWeight {
			c.add(join(path, "weight"), "%d is not between 0 and %d", p.Weight, maxWeight)
		}
		total += max(p.Weight, 0)
	}
	if total == 0 {
		c.add(join(at, "parts"), "no part has a weight above 0")
	}
}

func (c *checker) service(at string, s *Service) {
	c.name(join(at, "name"), s.Name)
	if s.Name == reservedName {
		c.add(join(at, "name"), "%q is reserved for paths of the instance itself", s.Name)
	}
	slots := join(at, "slots")
	if c.required(slots) {
		number(c, slots, s.Slots, 1, maxSlots)
	}
	number(c, join(at, "connections"), s.Connections, 1, maxSlots)
	full := s.WithDefaults()
	if full.Connections < s.Slots {
		c.add(join(at, "connections"), "%d connections cannot serve %d slots", full.Connections, s.Slots)
	}
	number(c, join(at, "deadline"), s.Deadline, Duration(time.Millisecond), Duration(maxDeadline))
	number(c, join(at, "fill"), s.Fill, minFill, 1)
	c.hosts(join(at, "hosts"), s.Hosts)
	c.floors(join(at, "floors"), s, &full)
	number(c, join(at, "queue.calls"), s.Queue.Calls, 1, 1<<20)
	number(c, join(at, "queue.bytes"), s.Queue.Bytes, 1, math.MaxInt)
	c.probe(join(at, "probe"), s.Probe, full.Probe)
	c.routes(join(at, "routes"), s.Routes)
}

func (c *checker) hosts(at string, hosts []string) {
	for i, h := range hosts {
		path := join(at, strconv.Itoa(i))
		switch {
		case h != strings.ToLower(h):
			c.add(path, "%q has upper-case letters", h)
		case !hostPattern.MatchString(h):
			c.add(path, "%q is not a host name without port", h)
		}
	}
}

func (c *checker) floors(at string, s, full *Service) {
	for _, f := range []struct {
		key   string
		value float64
	}{{"normal", s.Floors.Normal}, {"patient", s.Floors.Patient}} {
		path := join(at, f.key)
		if c.has(path) && f.value == 0 {
			c.add(path, "0 is not a floor; leave the key out for the default")
			continue
		}
		number(c, path, f.value, 0, maxFloors)
	}
	// The difference of 1e-9 allows for decimal fractions that binary numbers only approximate.
	if sum := full.Floors.Normal + full.Floors.Patient; sum > maxFloors+1e-9 && !c.wrong[join(at, "normal")] && !c.wrong[join(at, "patient")] {
		c.add(at, "normal %v and patient %v sum to over %v", full.Floors.Normal, full.Floors.Patient, maxFloors)
	}
}

func (c *checker) probe(at string, p, full Probe) {
	if c.has(join(at, "path")) {
		c.path(join(at, "path"), p.Path)
	}
	least, most := Duration(time.Microsecond), Duration(time.Second)
	number(c, join(at, "cost"), p.Cost, least, most)
	number(c, join(at, "budget"), p.Budget, least, most)
	number(c, join(at, "total"), p.Total, least, Duration(time.Hour))
	number(c, join(at, "fresh"), p.Fresh, least, most)
	number(c, join(at, "period"), p.Period, Duration(spacing), Duration(time.Hour))
	if c.wrong[join(at, "cost")] {
		return
	}
	if full.Budget < 2*full.Cost {
		c.add(join(at, "budget"), "%v is below twice the cost of %v", full.Budget.Std(), full.Cost.Std())
	}
	if full.Total < 2*full.Cost {
		c.add(join(at, "total"), "%v is below twice the cost of %v", full.Total.Std(), full.Cost.Std())
	}
}

func (c *checker) routes(at string, routes []Route) {
	for i := range routes {
		r := &routes[i]
		prefix := join(at, strconv.Itoa(i))
		if c.required(join(prefix, "path")) {
			c.path(join(prefix, "path"), r.Path)
		}
		// Without this rule a forgotten rank would make a route urgent, the zero value.
		c.required(join(prefix, "rank"))
		number(c, join(prefix, "deadline"), r.Deadline, Duration(time.Millisecond), Duration(maxDeadline))
		seen := make(map[string]bool)
		for j, m := range r.Methods {
			path := join(join(prefix, "methods"), strconv.Itoa(j))
			if !wordPattern.MatchString(m) {
				c.add(path, "%q is not a method in upper-case letters", m)
			} else if seen[m] {
				c.add(path, "%q appears twice", m)
			}
			seen[m] = true
		}
		if by := shadowing(routes[:i], r); by != nil && !c.wrong[join(prefix, "path")] {
			c.add(prefix, "route %q can never match; earlier routes take its calls: %s", r.Path, strings.Join(by, ", "))
		}
	}
}

// unique records name and hosts of s in u and reports those that are there already.
func (c *checker) unique(at string, s *Service, u unique) {
	if s.Name != "" {
		c.first(join(at, "name"), "service "+s.Name, u)
	}
	for i, h := range s.Hosts {
		c.first(join(join(at, "hosts"), strconv.Itoa(i)), "host "+h, u)
	}
}

func (c *checker) first(path, what string, u unique) {
	if where := u[what]; where != "" {
		c.add(path, "%s is already defined at %s", what, where)
		return
	}
	u[what] = c.file + ":" + strconv.Itoa(c.index.lines[path])
}
