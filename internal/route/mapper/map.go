package mapper

import (
	"net/netip"
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
}

// Join builds the map of bundle b and list l, either of which may be nil.
func Join(b *parser.Bundle, l *reader.List) *Map {
	m := &Map{Services: make(map[string]*Service), Hosts: make(map[string]*Service)}
	if b == nil {
		return m
	}
	m.Version = b.Version
	for i := range b.Services {
		s := b.Services[i].WithDefaults()
		m.Services[s.Name] = &Service{Service: &s}
		for _, h := range s.Hosts {
			m.Hosts[h] = m.Services[s.Name]
		}
	}
	if l == nil {
		return m
	}
	for i := range l.Entries {
		m.add(&l.Entries[i])
	}
	return m
}

func (m *Map) add(e *reader.Entry) {
	s := m.Services[e.Service]
	if s == nil {
		return
	}
	s.Servers = append(s.Servers, BackendServer{
		Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region, Leaving: e.Leaving,
	})
}

// Holder holds the current map for concurrent readers; the zero value holds an empty map.
type Holder struct{ current atomic.Pointer[Map] }

// Load returns the current map, never nil.
func (h *Holder) Load() *Map {
	if m := h.current.Load(); m != nil {
		return m
	}
	return new(Map)
}

// Store replaces the current map.
func (h *Holder) Store(m *Map) { h.current.Store(m) }
