package prober

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// startupGrace is the time after its start in which an instance probes nothing, so
	// that its probes and those of the instance it replaces do not add up.
	startupGrace = 5 * time.Second
	// unusedStateAge is the age at which an account is dropped, because its backend server is gone.
	unusedStateAge = 24 * time.Hour
)

// Planner decides for one instance which probes it may send. It does no I/O
// and reads no clock. Its methods are safe for concurrent use; the exported
// fields are set before the first call.
type Planner struct {
	Name  string    // Name of the instance in the list.
	Start time.Time // Start of the process.

	mu     sync.Mutex
	states map[netip.AddrPort]*serverState
}

// serverState is what a Planner remembers of a backend server.
type serverState struct {
	probing     bool          // A probe has not ended yet.
	sentAt      time.Time     // Time of the last probe.
	debt        time.Duration // Probe time that the turns to come have to pay.
	scheduledAt time.Time     // Time of the last turn.
}

// Next returns the first middle of a time slot of any target after now; it is zero without targets.
func Next(now time.Time, v View) time.Time {
	var first time.Time
	for i := range v.Targets {
		period := v.Targets[i].Probe.Period.Std()
		n := Number(now, period)
		m := Middle(n, period)
		if !m.After(now) {
			m = Middle(n+1, period)
		}
		if first.IsZero() || m.Before(first) {
			first = m
		}
	}
	return first
}

// Due returns the turns of this instance at middle, a time that Next returned.
// Each turn pays its share of the debt of its backend server; turns whose
// debt is not paid are left out. Idle selects the backend servers; nil means
// all. It is asked first, because it costs less than the order of instances.
// Due must be called once for each middle.
func (p *Planner) Due(middle time.Time, v View, isIdle func(service string, server netip.AddrPort) bool) []Turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var assignments []Turn
	for i := range v.Targets {
		target := &v.Targets[i]
		n := Number(middle, target.Probe.Period.Std())
		if !Middle(n, target.Probe.Period.Std()).Equal(middle) {
			continue
		}
		for j, server := range target.Servers {
			if !OnTurn(j, len(target.Servers), n, target.Probe) || isIdle != nil && !isIdle(target.Service, server) {
				continue
			}
			assignment := Turn{Service: target.Service, Server: server, Probe: target.Probe, Middle: middle}
			if Owner(server, n, v.Instances) == p.Name && p.payDebt(&assignment) {
				assignments = append(assignments, assignment)
			}
		}
	}
	p.removeUnused(middle)
	return assignments
}

// payDebt takes from the debt what one list may use of the budget in one time
// slot, and reports whether nothing remains. Paying by turns and not by time
// keeps the sum over all instances within the budget.
func (p *Planner) payDebt(a *Turn) bool {
	state := p.serverState(a.Server)
	state.scheduledAt = a.Middle
	share := time.Duration(float64(a.Probe.Budget) / 2 * a.Probe.Period.Std().Seconds())
	state.debt = max(0, state.debt-share)
	return state.debt == 0
}

// Begin reserves the backend server for turn t and reports whether it was
// free. A reserved turn must be followed by End.
func (p *Planner) Begin(a Turn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serverState(a.Server)
	if state.probing || a.Middle.Sub(p.Start) < startupGrace {
		return false
	}
	state.probing = true
	return true
}

// Send reports whether the probe of turn t may be sent at time now, which
// must be read from the clock immediately before. A process that slept or
// whose clock was set back sends nothing.
func (p *Planner) Send(a Turn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := now.Round(0).Sub(a.Middle)
	state := p.serverState(a.Server)
	// Sub uses the monotonic clock, so it also holds when the wall clock was set back.
	if late < 0 || late > Late(a.Probe) || now.Sub(p.Start) < startupGrace || !state.sentAt.IsZero() && now.Sub(state.sentAt) < budgetWindow {
		return false
	}
	state.sentAt = now
	return true
}

// End releases the backend server after turn t; took is the duration of the
// probe, 0 when none was sent. It is charged to the turns to come.
func (p *Planner) End(a Turn, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serverState(a.Server)
	state.probing = false
	state.debt += took
}

func (p *Planner) serverState(server netip.AddrPort) *serverState {
	if p.states == nil {
		p.states = make(map[netip.AddrPort]*serverState)
	}
	state := p.states[server]
	if state == nil {
		state = new(serverState)
		p.states[server] = state
	}
	return state
}

func (p *Planner) removeUnused(now time.Time) {
	for server, state := range p.states {
		if !state.probing && now.Sub(state.scheduledAt) > unusedStateAge {
			delete(p.states, server)
		}
	}
}
