package router

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// BackendServer is a backend server of a service, as the platform lists it.
type BackendServer struct {
	Name         string
	Address      netip.AddrPort
	Zone         string
	Region       string
	Unplaced     bool // The settings do not name its availability zone; its pool is asked after all others.
	Leaving      bool
	Evacuated    bool   // Its availability zone is evacuated; it must get no requests.
	ProcessStart uint64 // Start of the server process in a unit of the platform; 0 when unknown.
	Slots        int    // Slots of this server; 0 means the number configured for the service.
	// Cold is what the list says of a cold start; NewRoutingTable leaves the times to
	// ColdSchedule.
	Cold ColdStart
}

// TakesCalls reports whether new calls may go to the server, as far as the platform says.
func (b *BackendServer) TakesCalls() bool { return !b.Leaving && !b.Evacuated }

// Service is the configuration of a service with its backend servers.
type Service struct {
	*parser.Service
	Servers []BackendServer
}

// RoutingTable holds the services and rules by which calls are routed. It is immutable; the zero value is empty.
type RoutingTable struct {
	Version        uint64              // Version of the bundle; 0 when there is none.
	Services       map[string]*Service // By name.
	ServicesByHost map[string]*Service // By the value of the Host header.
	RulesByHost    map[string][]*Rule  // By the value of the Host header, the longest path first.
	Limits         parser.Limits
	Configured     bool     // There is a bundle.
	Partial        bool     // A call without a rule may belong to one that could not be read.
	HasBulkRules   bool     // A rule is marked as bulk.
	EvacuatedZones []string // Availability zones whose servers must get no requests, sorted.
}

// TableBuilder builds routing tables. It keeps what depends on the bundle alone, since the list
// changes far more often. The zero value is ready to use; it is not safe for concurrent use.
type TableBuilder struct {
	bundle   *parser.Bundle
	services []parser.Service // Those of the bundle with defaults.
}

// NewRoutingTable joins bundle b and list l, either of which may be nil.
func NewRoutingTable(b *parser.Bundle, l *reader.List) *RoutingTable {
	return new(TableBuilder).Build(b, l)
}

// Build joins bundle b, which must not be modified afterwards, and list l, either of which
// may be nil. The tables of one bundle share its services.
func (tb *TableBuilder) Build(b *parser.Bundle, l *reader.List) *RoutingTable {
	t := &RoutingTable{Services: make(map[string]*Service), ServicesByHost: make(map[string]*Service)}
	if b == nil {
		return t
	}
	if tb.bundle != b {
		tb.bundle, tb.services = b, make([]parser.Service, len(b.Services))
		for i := range b.Services {
			tb.services[i] = b.Services[i].WithDefaults()
		}
	}
	t.Configured, t.Partial = true, b.Partial
	t.Version, t.Limits, t.Services = b.Version, b.Limits, make(map[string]*Service, len(tb.services))
	joined := make([]Service, len(tb.services))
	for i := range tb.services {
		s := &joined[i]
		s.Service = &tb.services[i]
		t.Services[s.Name] = s
		for _, h := range s.Hosts {
			t.ServicesByHost[h] = s
		}
	}
	t.addRules(b)
	if l == nil {
		return t
	}
	t.EvacuatedZones = l.Evacuated
	for i := range l.Entries {
		t.addServer(&l.Entries[i])
	}
	return t
}

// addRules adds the rules of b, with the services that they refer to.
func (t *RoutingTable) addRules(b *parser.Bundle) {
	t.RulesByHost = make(map[string][]*Rule)
	for i := range b.Rules {
		r := &Rule{Rule: b.Rules[i].WithDefaults(), Services: make([]*Service, len(b.Rules[i].Parts))}
		for j, p := range r.Parts {
			r.Services[j] = t.Services[p.Service]
		}
		t.RulesByHost[r.Host] = append(t.RulesByHost[r.Host], r)
		t.HasBulkRules = t.HasBulkRules || r.Bulk
	}
	for _, rules := range t.RulesByHost {
		slices.SortStableFunc(rules, func(a, b *Rule) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
}

// addServer adds the backend server of entry e to its service, if that is configured.
func (t *RoutingTable) addServer(e *reader.Entry) {
	s := t.Services[e.Service]
	if s == nil {
		return
	}
	s.Servers = append(s.Servers, BackendServer{
		Name: e.Name, Address: e.Address, Zone: e.Zone, Region: e.Region, Unplaced: e.Unplaced, Leaving: e.Leaving, ProcessStart: e.ProcessStart, Slots: e.Slots,
		Cold:      ColdStart{remaining: e.Cold, started: e.Started, sequence: e.Sequence},
		Evacuated: slices.Contains(t.EvacuatedZones, e.Zone),
	})
}

// FindServer returns the backend server of service at addr, preferably one that is not
// leaving, or nil if there is none.
func (t *RoutingTable) FindServer(service string, addr netip.AddrPort) *BackendServer {
	s := t.Services[service]
	if s == nil {
		return nil
	}
	var found *BackendServer
	for i := range s.Servers {
		if b := &s.Servers[i]; b.Address == addr && (found == nil || found.Leaving && !b.Leaving) {
			found = b
		}
	}
	return found
}

// FindProcess returns the backend server of service with the given name and process start,
// or nil if there is none.
func (t *RoutingTable) FindProcess(service, name string, start uint64) *BackendServer {
	s := t.Services[service]
	if s == nil {
		return nil
	}
	for i := range s.Servers {
		if b := &s.Servers[i]; b.Name == name && b.ProcessStart == start {
			return b
		}
	}
	return nil
}

// TableHolder holds the current routing table for concurrent use. The zero value holds an empty table.
type TableHolder struct{ current atomic.Pointer[RoutingTable] }

// Load returns the current routing table, which is never nil.
func (h *TableHolder) Load() *RoutingTable {
	if t := h.current.Load(); t != nil {
		return t
	}
	return new(RoutingTable)
}

// Store replaces the current routing table.
func (h *TableHolder) Store(t *RoutingTable) { h.current.Store(t) }
