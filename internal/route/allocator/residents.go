package allocator

import (
	"maps"
	"net/netip"
	"time"

	"sardinelever.example/sardinelever/internal/route/router"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// residents decides which server has an address that several listed servers of a pool name.
// The list cannot tell: an address passes to another server after the first one has ended,
// whose entry may stay for a while, and an entry may be wrong. The answers to probes name the
// server that answers. The zero value is ready to use.
type residents struct {
	// names has the name by which the server at each such address answered the last probe;
	// it is empty if the probe had no answer.
	names map[netip.AddrPort]string
	// unknown are the servers chosen without an answer, to be probed.
	unknown []netip.AddrPort
}

// chooseMembers returns members with one server for each address: the one that answered
// there last; before an answer the one that the pool has, which current returns if it may be
// probed; otherwise the one that started last. Leaving servers count only where all
// servers of an address leave.
func (r *residents) chooseMembers(members []router.BackendServer, current func(netip.AddrPort) *tracker.Server) []router.BackendServer {
	r.unknown = nil
	indexes := make(map[netip.AddrPort][]int, len(members))
	for i := range members {
		indexes[members[i].Address] = append(indexes[members[i].Address], i)
	}
	for addr := range r.names {
		if len(indexes[addr]) < 2 {
			delete(r.names, addr)
		}
	}
	chosen := make([]router.BackendServer, 0, len(indexes))
	for i := range members {
		addr := members[i].Address
		if group := indexes[addr]; group[0] != i {
			continue
		} else if len(group) == 1 {
			chosen = append(chosen, members[i])
		} else {
			chosen = append(chosen, *r.chooseMember(members, withoutLeaving(members, group), current(addr)))
		}
	}
	return chosen
}

// withoutLeaving returns the indexes of group whose members do not leave, or group if all do.
func withoutLeaving(members []router.BackendServer, group []int) []int {
	var staying []int
	for _, i := range group {
		if !members[i].Leaving {
			staying = append(staying, i)
		}
	}
	if len(staying) == 0 {
		return group
	}
	return staying
}

// chooseMember returns the member that has the common address of those with the indexes in
// group; current is the server that the pool has there, or nil.
func (r *residents) chooseMember(members []router.BackendServer, group []int, current *tracker.Server) *router.BackendServer {
	newest, kept := &members[group[0]], (*router.BackendServer)(nil)
	name, probed := r.names[newest.Address]
	for _, i := range group {
		m := &members[i]
		switch {
		case name != "" && m.Name == name:
			return m
		case m.ProcessStart >= newest.ProcessStart:
			newest = m
		}
		if current != nil && current.Name == m.Name && current.ProcessStart == m.ProcessStart {
			kept = m
		}
	}
	if probed || len(group) == 1 {
		return newest
	}
	r.unknown = append(r.unknown, newest.Address)
	if kept != nil {
		return kept
	}
	return newest
}

// recordProbe records that the server at addr answered a probe with name, which is empty if
// there was no answer, and reports whether the choice of the members may change. Only the
// addresses that several members have are recorded.
func (r *residents) recordProbe(members []router.BackendServer, addr netip.AddrPort, name string) bool {
	sharing := 0
	for i := range members {
		if members[i].Address == addr {
			sharing++
		}
	}
	known, probed := r.names[addr]
	if sharing < 2 || probed && known == name {
		return false
	}
	if r.names == nil {
		r.names = make(map[netip.AddrPort]string)
	}
	r.names[addr] = name
	return true
}

// sharedAddresses returns the addresses that several servers of s have.
func sharedAddresses(s *router.Service) map[netip.AddrPort]bool {
	known := make(map[netip.AddrPort]bool, len(s.Servers))
	for i := range s.Servers {
		_, again := known[s.Servers[i].Address]
		known[s.Servers[i].Address] = again
	}
	maps.DeleteFunc(known, func(_ netip.AddrPort, shared bool) bool { return !shared })
	return known
}

// findProbeable returns the server that the pool has at addr, if it may be probed now.
func (p *Pool) findProbeable(now time.Time, addr netip.AddrPort) *tracker.Server {
	s := p.servers.FindServer(addr)
	if s == nil || !p.usesFreshReports() || p.MayProbe != nil && !p.MayProbe(now, s) {
		return nil
	}
	return s
}

// probeUnknown probes the servers that were chosen for addresses of several servers without
// an answer that says which of them is there.
func (p *Pool) probeUnknown(now time.Time) {
	if !p.usesFreshReports() {
		return
	}
	for _, addr := range p.residents.unknown {
		s := p.servers.FindServer(addr)
		if s.PendingProbeAge(now) == 0 && (p.MayProbe == nil || p.MayProbe(now, s)) {
			s.MarkProbeSent(now)
			p.StartProbe(s)
		}
	}
}

// RecordProbe records the result of a probe.
func (p *Pool) RecordProbe(now time.Time, addr netip.AddrPort, r tracker.ProbeResult) {
	s := p.servers.FindServer(addr)
	if s == nil || s.IsOther(r.ServerName) && s.PendingProbeAge(now) == 0 {
		return // The probe was of a server that was replaced meanwhile.
	}
	p.servers.RecordProbeResult(now, s, r)
	switch name := r.ServerName; {
	case r.Unsent, name == "" && !r.Failed:
	case p.residents.recordProbe(p.listed, addr, name):
		p.applyTable(now, p.appliedTable)
	}
	if s = p.servers.FindServer(addr); s != nil {
		p.updateCold(now)
		p.recallUnfit(now, s)
		p.dispatch(now)
		p.notifyAllQueued(now)
	}
}
