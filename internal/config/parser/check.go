package parser

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of values.
const (
	maxSlots    = 1 << 16
	maxDeadline = 24 * time.Hour // The header Sardine-Deadline has the same limit.
	maxFloors   = 0.5
	minFill     = 0.25 // One of 4 slots, the fewest to which fill applies.
	minMemory   = 32   // MB; the process itself takes about 20.

	// Below 10 s for reading the list and 5 s for the clocks of callers, the
	// rule of identified calls does not hold (package deduper). After a change
	// of its place an identity is unknown for the margin, so a long one only
	// costs; 10 min is the time for which identities are kept.
	minMargin = 15 * time.Second
	maxMargin = 10 * time.Minute
)

var (
	namePattern = regexp.MustCompile(`^[a-z]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)
	wordPattern = regexp.MustCompile(`^[A-Z]+$`)
)

const nameRule = "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter and not ending with a hyphen"

// reservedName is the first path element of the instance's own paths, for example /sardine/id.
const reservedName = "sardine"

// has reports whether the file sets the key at path.
func (c *checker) has(path string) bool { return c.index.lines[path] > 0 }

// add records a mistake at path, or at the closest table above it, unless the value already has one.
func (c *checker) add(path, format string, args ...any) {
	if c.broken || c.wrong[path] {
		return
	}
	c.wrong[path] = true
	line, at := 0, path
	for line == 0 && at != "" {
		line = c.index.lines[at]
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	c.mistakes = append(c.mistakes, Mistake{File: c.file, Line: line, Key: shown(path), Reason: fmt.Sprintf(format, args...)})
}

// required records a mistake when the file does not set the key at path.
func (c *checker) required(path string) bool {
	if !c.has(path) {
		c.add(path, "is required")
	}
	return c.has(path)
}

// number checks a number that the file may leave out.
func number[T int | float64 | Duration](c *checker, path string, v, least, most T) {
	if c.has(path) && !(v >= least && v <= most) { // The negation also refuses NaN.
		c.add(path, "%v is not between %v and %v", shownNumber(v), shownNumber(least), shownNumber(most))
	}
}

func shownNumber(v any) any {
	if d, ok := v.(Duration); ok {
		return d.Std()
	}
	return v
}

func (c *checker) name(path, v string) {
	if c.required(path) && !namePattern.MatchString(v) {
		c.add(path, "%q is not a valid name; %s", v, nameRule)
	}
}

func (c *checker) path(path, v string) {
	switch {
	case !strings.HasPrefix(v, "/"):
		c.add(path, "%q does not start with /", v)
	case strings.ContainsAny(v, "?# \t\r\n"):
		c.add(path, "%q contains a blank, ? or #", v)
	}
}

func (c *checker) settings(s *Settings) {
	c.name("name", s.Name)
	c.name("zone", s.Zone)
	if c.has("region") {
		c.name("region", s.Region)
	}
	c.listeners(s)
	if c.required("platform") {
		u, err := url.Parse(s.Platform)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			c.add("platform", "%q is not a URL with http or https and a host", s.Platform)
		}
	}
	number(c, "notice", s.Notice, Duration(time.Millisecond), Duration(time.Hour))
	number(c, "margin", s.Margin, Duration(minMargin), Duration(maxMargin))
	c.word("policy", s.Policy, "grant", "random", "round", "least")
	c.word("level", s.Level, "debug", "info", "warn", "error")
	c.word("dialect", s.Dialect, "native", "cymdeithas")
	number(c, "grace", s.Grace, Duration(time.Millisecond), Duration(time.Hour))
	number(c, "memory", s.Memory, minMemory, math.MaxInt)
	number(c, "retry.ratio", s.Retry.Ratio, 0, 1)
	number(c, "retry.slack", s.Retry.Slack, 0, math.MaxInt)
	number(c, "retry.window", s.Retry.Window, Duration(time.Second), Duration(time.Hour))
	for i, seed := range s.Seeds {
		if !seed.IsValid() || seed.Port() == 0 {
			c.add(join("seeds", strconv.Itoa(i)), "%q is not an IP address with a port above 0", seed)
		}
	}
	c.tls(s)
}

// word records a mistake when the file sets the key at path to none of words.
func (c *checker) word(path, v string, words ...string) {
	if c.has(path) && !slices.Contains(words, v) {
		c.add(path, "%q is none of %s", v, strings.Join(words, ", "))
	}
}

func (c *checker) listeners(s *Settings) {
	seen := make(map[netip.AddrPort]string)
	for _, l := range []struct {
		key      string
		addr     netip.AddrPort
		required bool
	}{{"callers", s.Callers, true}, {"peers", s.Peers, true}, {"operator", s.Operator, false}} {
		switch {
		case !l.required && !c.has(l.key):
		case !c.required(l.key):
		case !l.addr.IsValid() || l.addr.Port() == 0:
			c.add(l.key, "%q is not an IP address with a port above 0", l.addr)
		case l.key == "peers" && l.addr.Addr().IsUnspecified():
			c.add(l.key, "%s is not an address that other instances can reach", l.addr)
		case seen[l.addr] != "":
			c.add(l.key, "%s is already used by %s", l.addr, seen[l.addr])
		}
		seen[l.addr] = l.key
	}
}

func (c *checker) tls(s *Settings) {
	for _, f := range []struct{ key, file string }{{"tls.cert", s.TLS.Cert}, {"tls.key", s.TLS.Key}, {"tls.ca", s.TLS.CA}} {
		if s.Plain {
			if c.has(f.key) {
				c.add(f.key, "is not used with plain = true")
			}
			continue
		}
		if f.file == "" {
			c.add(f.key, "is required unless plain = true")
			continue
		}
		if info, err := os.Stat(f.file); err != nil {
			c.add(f.key, "file cannot be read: %v", err)
		} else if info.IsDir() {
			c.add(f.key, "%q is a folder, not a file", f.file)
		}
	}
}

// shadowing returns the earlier routes that together take every call of r; nil when some call is left for r.
func shadowing(earlier []Route, r *Route) []string {
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
