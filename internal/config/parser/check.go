package parser

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxSlots is the largest number of slots of one backend server.
const MaxSlots = 1 << 16

// MaxColdRate is the largest rate of calls to a cold backend server, in calls per second.
const MaxColdRate = 1e6

// Limits of the values in settings, service files and bundles.
const (
	maxDeadline    = 24 * time.Hour // The header Sardine-Deadline has the same limit.
	maxFloorSum    = 0.5            // Share of the slots that the floors of all ranks reserve at most.
	minFill        = 0.25           // One of 4 slots; fill applies to backend servers with 4 slots or more.
	maxColdFactor  = 1e3
	minCapacity    = 0.001  // A thousandth of a core.
	maxCapacity    = 1024.0 // More cores than a machine has.
	minDescriptors = 64     // An idle instance has 14 open.
	minMemoryMB    = 32     // The process itself takes about 20 MB.
	maxMemoryMB    = 1 << 30
	maxDescriptors = 1 << 30
	maxRetryRatio  = 1e6 // Retries of one call.
	maxRetrySlack  = 1e9

	minCollect = 10 // Below that, collections take a large share of the processor time.
	maxCollect = 1000

	// The margin covers the 10 s for which a list of instances is used after it
	// was read and 5 s for the clocks of callers. With a shorter margin, the
	// guarantee of package deduper for calls with an idempotency key does not
	// hold. After the place of an idempotency key has changed, a call has the
	// outcome unknown if its idempotency key was created before the margin had
	// passed since the change. A margin above 10 min, the time for which
	// idempotency keys are kept, has this cost and no benefit.
	minMargin = 15 * time.Second
	maxMargin = 10 * time.Minute
)

var (
	namePattern   = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// nameRule describes namePattern in messages.
const nameRule = "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter and not ending with a hyphen"

// reservedServiceName is the first element of the paths that the instance itself
// answers, for example /sardine/id. Calls to a service start with its name.
const reservedServiceName = "sardine"

// isSet reports whether the file sets the key at path.
func (c *checker) isSet(path string) bool { return c.index.lineByPath[path] > 0 }

// hasValue reports whether the file sets the key at path, which has value v. A bundle that
// was not decoded from a file sets all keys whose values are not zero.
func hasValue[T comparable](c *checker, path string, v T) bool {
	if c.index == nil {
		var zero T
		return v != zero
	}
	return c.isSet(path)
}

// place returns the line of the key at path or, for a bundle that was not decoded from a
// file, the path.
func (c *checker) place(path string) string {
	if c.index == nil {
		return path
	}
	return strconv.Itoa(c.index.lineByPath[path])
}

// addMistake records a mistake of the value at path, unless one is recorded
// already. If the file does not set path, the line of the mistake is that of the
// closest enclosing table that the file has.
func (c *checker) addMistake(path, format string, args ...any) {
	if c.decodeFailed || c.pathsWithMistake[path] {
		return
	}
	c.pathsWithMistake[path] = true
	m := Mistake{File: c.file, Key: displayPath(path), Path: path, Reason: fmt.Sprintf(format, args...)}
	if c.index != nil {
		m.Line = c.index.closestLine(path)
	}
	c.mistakes = append(c.mistakes, m)
}

// requireKey reports whether the file sets the key at path, and records a
// mistake if it does not. A bundle that was not decoded from a file sets all such keys.
func (c *checker) requireKey(path string) bool {
	if c.index == nil || c.isSet(path) {
		return true
	}
	c.addMistake(path, "is required")
	return false
}

// checkRange records a mistake if the file sets the key at path and v is not
// between lowest and highest, inclusive.
func checkRange[T int | float64 | Duration | Figure](c *checker, path string, v, lowest, highest T) {
	if hasValue(c, path, v) && !(v >= lowest && v <= highest) { // The negated form also rejects NaN.
		c.addMistake(path, "%v is not between %v and %v", printableNumber(v), printableNumber(lowest), printableNumber(highest))
	}
}

// printableNumber returns v in the form used in messages: a Duration as a
// time.Duration, any other value unchanged.
func printableNumber(v any) any {
	if d, ok := v.(Duration); ok {
		return d.AsDuration()
	}
	return v
}

// checkName checks the required name v of an instance, zone, region or service.
func (c *checker) checkName(path, v string) {
	if c.rendered {
		if c.requireKey(path) && !renderedName.MatchString(v) {
			c.addMistake(path, "%q is empty, too long or has control characters", v)
		}
		return
	}
	if c.requireKey(path) && !namePattern.MatchString(v) {
		c.addMistake(path, "%q is not a valid name; %s", v, nameRule)
	}
}

// checkPath checks v, the URL path that the file sets at the key path.
func (c *checker) checkPath(path, v string) {
	switch {
	case !strings.HasPrefix(v, "/"):
		c.addMistake(path, "%q does not start with /", v)
	case strings.ContainsAny(v, "?# \t\r\n"):
		c.addMistake(path, "%q contains a blank, ? or #", v)
	}
}

// checkSettings checks the settings of an instance.
func (c *checker) checkSettings(s *Settings) {
	c.checkName("name", s.Name)
	c.checkName("zone", s.Zone)
	if c.isSet("region") {
		c.checkName("region", s.Region)
	}
	c.checkListeners(s)
	if c.requireKey("platform") {
		u, err := url.Parse(s.Platform)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			c.addMistake("platform", "%q is not a URL with http or https and a host", s.Platform)
		}
	}
	limitRange(c, "notice", &s.Notice, Duration(time.Millisecond), Duration(time.Hour))
	limitRange(c, "margin", &s.Margin, Duration(minMargin), Duration(maxMargin))
	c.checkOneOf("policy", s.Policy, "grant", "random", "round", "least")
	c.checkOneOf("level", s.Level, "debug", "info", "warn", "error")
	c.checkOneOf("dialect", s.Dialect, "native", "cymdeithas")
	limitRange(c, "grace", &s.Grace, Duration(time.Millisecond), Duration(time.Hour))
	limitRange(c, "collect", &s.Collect, minCollect, maxCollect)
	for _, f := range []struct {
		key             string
		value           *Figure
		lowest, highest Figure
	}{
		{"memory", &s.Memory, minMemoryMB, maxMemoryMB},
		{"descriptors", &s.Descriptors, minDescriptors, maxDescriptors},
		{"capacity", &s.Capacity, minCapacity, maxCapacity},
	} {
		if *f.value != 0 || !c.rendered { // A platform may state 0 where there is no limit.
			limitRange(c, f.key, f.value, f.lowest, f.highest)
		}
	}
	limitOption(c, "retry.ratio", &s.Retry.Ratio, 0, maxRetryRatio)
	limitOption(c, "retry.slack", &s.Retry.Slack, 0, maxRetrySlack)
	limitRange(c, "retry.hedge", &s.Retry.Hedge, 0, 1)
	limitRange(c, "retry.window", &s.Retry.Window, Duration(time.Second), Duration(time.Hour))
	limitRange(c, "zones.price", &s.Zones.Price, 0, Duration(time.Hour))
	limitOption(c, "cold.overage", &s.Cold.Overage, 0, maxColdFactor)
	limitOption(c, "cold.slack", &s.Cold.Slack, 0, MaxColdRate)
	if c.rendered {
		c.dropInvalidSeeds(s)
	}
	for i, seed := range s.Seeds {
		if !seed.IsValid() || seed.Port() == 0 {
			c.addMistake(joinPath("seeds", strconv.Itoa(i)), "%q is not an IP address with a port above 0", seed)
		}
	}
	c.checkTLS(s)
}

// dropInvalidSeeds removes the seeds of s that are no addresses.
func (c *checker) dropInvalidSeeds(s *Settings) {
	s.Seeds = slices.DeleteFunc(s.Seeds, func(seed netip.AddrPort) bool {
		if seed.IsValid() && seed.Port() > 0 {
			return false
		}
		c.addWarning("seeds", seed, "no seed")
		return true
	})
}

// checkOneOf records a mistake if the file sets the key at path and v is not one
// of the allowed words.
func (c *checker) checkOneOf(path, v string, allowed ...string) {
	if c.isSet(path) && !slices.Contains(allowed, v) {
		c.addMistake(path, "%q is none of %s", v, strings.Join(allowed, ", "))
	}
}

// checkListeners checks that the listen addresses are valid and distinct, and that
// other instances can reach the one for peers.
func (c *checker) checkListeners(s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, l := range []struct {
		key      string
		addr     netip.AddrPort
		required bool
	}{{"callers", s.Callers, true}, {"peers", s.Peers, true}, {"operator", s.Operator, false}} {
		switch {
		case !l.required && !c.isSet(l.key):
		case !c.requireKey(l.key):
		case !l.addr.IsValid() || l.addr.Port() == 0:
			c.addMistake(l.key, "%q is not an IP address with a port above 0", l.addr)
		case l.key == "peers" && l.addr.Addr().IsUnspecified():
			c.addMistake(l.key, "%s is not an address that other instances can reach", l.addr)
		case seen[l.addr] != "":
			c.addMistake(l.key, "%s is already used by %s", l.addr, seen[l.addr])
		}
		seen[l.addr] = l.key
	}
}

// checkTLS checks that the three TLS files exist or, with plain = true, that the
// file sets none of them.
func (c *checker) checkTLS(s *Settings) {
	for _, f := range []struct{ key, file string }{{"tls.cert", s.TLS.Cert}, {"tls.key", s.TLS.Key}, {"tls.ca", s.TLS.CA}} {
		if s.Plain {
			if c.isSet(f.key) {
				c.addMistake(f.key, "is not used with plain = true")
			}
			continue
		}
		if f.file == "" {
			c.addMistake(f.key, "is required unless plain = true")
			continue
		}
		if info, err := os.Stat(f.file); err != nil {
			c.addMistake(f.key, "file cannot be read: %v", err)
		} else if info.IsDir() {
			c.addMistake(f.key, "%q is a folder, not a file", f.file)
		}
	}
}

// shadowingRoutes returns the paths of the earlier routes that together match
// every call that r matches. It returns nil if r is the first match of some call.
func shadowingRoutes(earlier []Route, r *Route) []string {
	var methods, paths []string
	for i := range earlier {
		e := &earlier[i]
		if !strings.HasPrefix(r.Path, e.Path) {
			continue
		}
		if len(e.Methods) == 0 {
			return []string{e.Path}
		}
		methods = append(methods, e.Methods...)
		paths = append(paths, e.Path)
	}
	for _, m := range r.Methods {
		if !slices.Contains(methods, m) {
			return nil
		}
	}
	if len(r.Methods) == 0 {
		return nil
	}
	return paths
}
