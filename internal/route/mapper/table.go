package mapper

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// BackendServer is one server of a service.
type BackendServer struct {
	Name    string
	Address netip.AddrPort
	Zone    string
	Region  string
	Leaving bool
	Born    uint64 // Start of its process; 0 when the platform does not tell it.
	Slots   int    // 0 means those of the service.
}

// Service is the configuration of a service with its backend servers.
type Service struct {
	*parser.Service
	Servers []BackendServer
}

// Map is an immutable view of what can be reached; the zero value is empty.
type Map struct {
	Version  uint64 // Version of the bundle; 0 when there is none.
	Services map[string]*Service
	Hosts    map[string]*Service // By Host value of callers.
	Rules    map[string][]*Rule  // By Host value of callers, the longest path first.
	Limits   parser.Limits
}

// Join builds the map of bundle b and list l, either of which may be nil.
func Join(b *parser.Bundle, l *reader.List) *Map {
	t := &Map{Services: make(map[string]*Service), Hosts: make(map[string]*Service)}
	if b == nil {
		return t
	}
	t.Version, t.Limits = b.Version, b.Limits
	for i := range b.Services {
		s := b.Services[i].WithDefaults()
		t.Services[s.Name] = &Service{Service: &s}
		for _, h := range s.Hosts {
			t.Hosts[h] = t.Services[s.Name]
		}
	}
	t.addRules(b)
	if l == nil {
		return t
	}
	for i := range l.Entries {
		t.addServer(&l.Entries[i])
	}
	return t
}

func (t *Map) addRules(b *parser.Bundle) {
	t.Rules = make(map[string][]*Rule)
	for i := range b.Rules {
		r := &Rule{Rule: b.Rules[i].WithDefaults(), Services: make([]*Service, len(b.Rules[i].Parts))}
		for j, p := range r.Parts {
			r.Services[j] = t.Services[p.Service]
		}
		t.Rules[r.Host] = append(t.Rules[r.Host], r)
	}
	for _, rules := range t.Rules {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}

func (t *Map) addServer(e *reader.Entry) {
	s := t.Services[e.Service]
	if s == nil {
		return
	}
	s.Servers = append(s.Servers, BackendServer{
		Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region, Leaving: e.Leaving, Born: e.Born, Slots: e.Slots,
	})
}

// Holder holds the current map for concurrent readers; the zero value holds an empty map.
type Holder struct{ current atomic.Pointer[Map] }

// Load returns the current map, never nil.
func (h *Holder) Load() *Map {
	if t := h.current.Load(); t != nil {
		return t
	}
	return new(Map)
}

// Store replaces the current map.
func (h *Holder) Store(t *Map) { h.current.Store(t) }
