package prober

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// startupGrace is the time after its start in which a process sends no probes, so
	// that its probes and those of the process it replaces together stay within the
	// budget.
	startupGrace = 5 * time.Second
	// unusedStateAge is the time since the last assignment after which the state of a
	// backend server is dropped, because the server no longer exists.
	unusedStateAge = 24 * time.Hour
)

// Planner decides which probes one instance may send. It does no I/O and reads
// no clock. Its methods are safe for concurrent use; the exported fields must be
// set before the first call.
type Planner struct {
	InstanceName string    // Name of the instance in the platform's list.
	ProcessStart time.Time // Start of the process.

	mu     sync.Mutex
	states map[netip.AddrPort]*serverState
}

// serverState is the state of a backend server in a Planner.
type serverState struct {
	probing     bool          // The server is reserved for a probe that has not ended.
	sentAt      time.Time     // Send time of the last probe.
	deficit     time.Duration // Probe time not yet covered by the budget of later assignments; no probe is sent until it is 0.
	scheduledAt time.Time     // Send time of the last assignment.
}

// NextProbeTime returns the earliest time after now at which a probe of any target
// may be due: the middle of a time slot. It is zero when there are no targets.
func NextProbeTime(now time.Time, v View) time.Time {
	var earliest time.Time
	for i := range v.Targets {
		period := v.Targets[i].Probe.Period.AsDuration()
		n := TimeSlotNumber(now, period)
		slotMiddle := TimeSlotMiddle(n, period)
		if !slotMiddle.After(now) {
			slotMiddle = TimeSlotMiddle(n+1, period)
		}
		if earliest.IsZero() || slotMiddle.Before(earliest) {
			earliest = slotMiddle
		}
	}
	return earliest
}

// DueAssignments returns the assignments of this instance at slotMiddle, a time that
// NextProbeTime returned. Each assignment first reduces the deficit of its backend
// server, the probe time that the budget has not covered yet; the assignment is
// omitted while a deficit remains. isIdle selects the backend servers; nil means
// all. It is called before the rendezvous hash is computed, because it costs less.
// DueAssignments must be called once for each slotMiddle.
func (p *Planner) DueAssignments(slotMiddle time.Time, v View, isIdle func(service string, server netip.AddrPort) bool) []Assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	var assignments []Assignment
	for i := range v.Targets {
		target := &v.Targets[i]
		n := TimeSlotNumber(slotMiddle, target.Probe.Period.AsDuration())
		if !TimeSlotMiddle(n, target.Probe.Period.AsDuration()).Equal(slotMiddle) {
			continue
		}
		for j, server := range target.Servers {
			if !IsScheduled(j, len(target.Servers), n, target.Probe) || isIdle != nil && !isIdle(target.Service, server) {
				continue
			}
			assignment := Assignment{Service: target.Service, Server: server, Probe: target.Probe, SendTime: slotMiddle}
			if ScheduledInstance(server, n, v.Instances) == p.InstanceName && p.reduceDeficit(&assignment) {
				assignments = append(assignments, assignment)
			}
		}
	}
	p.removeUnused(slotMiddle)
	return assignments
}

// reduceDeficit reduces the deficit of the backend server by the share of one
// assignment in the budget and reports whether none remains. The share is half of
// the budget of one period, because instances with two different lists may probe
// at the same time. Assignments and not elapsed time reduce the deficit, because
// only one instance is assigned in each time slot. This keeps the sum over all
// instances within the budget.
func (p *Planner) reduceDeficit(a *Assignment) bool {
	state := p.serverState(a.Server)
	state.scheduledAt = a.SendTime
	share := time.Duration(float64(a.Probe.Budget) / 2 * a.Probe.Period.AsDuration().Seconds())
	state.deficit = max(0, state.deficit-share)
	return state.deficit == 0
}

// ReserveServer reserves the backend server of assignment a. It returns false
// while another probe of the server is active and shortly after the process
// started. After it returned true, ReleaseServer must be called.
func (p *Planner) ReserveServer(a Assignment) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serverState(a.Server)
	if state.probing || a.SendTime.Sub(p.ProcessStart) < startupGrace {
		return false
	}
	state.probing = true
	return true
}

// ConfirmSend reports whether the probe of assignment a may be sent at time now,
// which must be read from the clock immediately before the call, and if so
// records it as sent. It returns false when now is before the send time or later
// than the send tolerance allows, which happens after a suspension of the process
// or a change of the clock. It also returns false shortly after the process
// started and within a budget window of the previous probe of the same server.
func (p *Planner) ConfirmSend(a Assignment, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := now.Round(0).Sub(a.SendTime)
	state := p.serverState(a.Server)
	// The differences to ProcessStart and sentAt use the monotonic clock, so they are right when the wall clock was set back.
	if late < 0 || late > SendTolerance(a.Probe) || now.Sub(p.ProcessStart) < startupGrace || !state.sentAt.IsZero() && now.Sub(state.sentAt) < budgetWindow {
		return false
	}
	state.sentAt = now
	return true
}

// ReleaseServer ends the reservation for assignment a. probeTime is the time that
// the assignment took from the backend server, which is added to the deficit of
// the server. It is 0 when no connection was opened.
func (p *Planner) ReleaseServer(a Assignment, probeTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.serverState(a.Server)
	state.probing = false
	state.deficit += probeTime
}

// serverState returns the state of server and creates it on first use.
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

// removeUnused drops the states of backend servers without recent assignments.
func (p *Planner) removeUnused(now time.Time) {
	for server, state := range p.states {
		if !state.probing && now.Sub(state.scheduledAt) > unusedStateAge {
			delete(p.states, server)
		}
	}
}
