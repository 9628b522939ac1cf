package prober

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// grace is the time after its start in which an instance probes nothing, so
	// that its probes and those of the instance it replaces do not add up.
	grace = 5 * time.Second
	// unusedFor is the age at which an account is dropped, because its backend server is gone.
	unusedFor = 24 * time.Hour
)

// Planner decides for one instance which probes it may send. It does no I/O
// and reads no clock. Its methods are safe for concurrent use; the exported
// fields are set before the first call.
type Planner struct {
	Name  string    // Name of the instance in the list.
	Start time.Time // Start of the process.

	mu       sync.Mutex
	accounts map[netip.AddrPort]*account
}

// account is what a Planner remembers of a backend server.
type account struct {
	active  bool          // A probe has not ended yet.
	sent    time.Time     // Time of the last probe.
	debt    time.Duration // Probe time that the turns to come have to pay.
	changed time.Time     // Time of the last turn.
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
func (p *Planner) Due(middle time.Time, v View, idle func(service string, server netip.AddrPort) bool) []Turn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var turns []Turn
	for i := range v.Targets {
		t := &v.Targets[i]
		n := Number(middle, t.Probe.Period.Std())
		if !Middle(n, t.Probe.Period.Std()).Equal(middle) {
			continue
		}
		for j, server := range t.Servers {
			if !OnTurn(j, len(t.Servers), n, t.Probe) || idle != nil && !idle(t.Service, server) {
				continue
			}
			turn := Turn{Service: t.Service, Server: server, Probe: t.Probe, Middle: middle}
			if Owner(server, n, v.Instances) == p.Name && p.pay(&turn) {
				turns = append(turns, turn)
			}
		}
	}
	p.clean(middle)
	return turns
}

// pay takes from the debt what one list may use of the budget in one time
// slot, and reports whether nothing remains. Paying by turns and not by time
// keeps the sum over all instances within the budget.
func (p *Planner) pay(t *Turn) bool {
	a := p.account(t.Server)
	a.changed = t.Middle
	share := time.Duration(float64(t.Probe.Budget) / 2 * t.Probe.Period.Std().Seconds())
	a.debt = max(0, a.debt-share)
	return a.debt == 0
}

// Begin reserves the backend server for turn t and reports whether it was
// free. A reserved turn must be followed by End.
func (p *Planner) Begin(t Turn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(t.Server)
	if a.active || t.Middle.Sub(p.Start) < grace {
		return false
	}
	a.active = true
	return true
}

// Send reports whether the probe of turn t may be sent at time now, which
// must be read from the clock immediately before. A process that slept or
// whose clock was set back sends nothing.
func (p *Planner) Send(t Turn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := now.Round(0).Sub(t.Middle)
	a := p.account(t.Server)
	// Sub uses the monotonic clock, so it also holds when the wall clock was set back.
	if late < 0 || late > Late(t.Probe) || now.Sub(p.Start) < grace || !a.sent.IsZero() && now.Sub(a.sent) < window {
		return false
	}
	a.sent = now
	return true
}

// End releases the backend server after turn t; took is the duration of the
// probe, 0 when none was sent. It is charged to the turns to come.
func (p *Planner) End(t Turn, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(t.Server)
	a.active = false
	a.debt += took
}

func (p *Planner) account(server netip.AddrPort) *account {
	if p.accounts == nil {
		p.accounts = make(map[netip.AddrPort]*account)
	}
	a := p.accounts[server]
	if a == nil {
		a = new(account)
		p.accounts[server] = a
	}
	return a
}

func (p *Planner) clean(now time.Time) {
	for server, a := range p.accounts {
		if !a.active && now.Sub(a.changed) > unusedFor {
			delete(p.accounts, server)
		}
	}
}
