package prober

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/placer"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

const (
	// budgetWindow is the time in which the budget is counted.
	budgetWindow = time.Second
	// maxClockError bounds the error of the clock of each instance. A clock may
	// err by 99 ms; leastLate takes the remaining 1 ms twice.
	maxClockError = 100 * time.Millisecond
	// minSendTolerance is how late a probe may be sent after the middle of its time slot.
	minSendTolerance = 2 * time.Millisecond
	// maxSendTolerance bounds the lateness when a long period leaves more room.
	maxSendTolerance = 100 * time.Millisecond
	// maxProbeTimeout bounds the duration of a probe when a long period leaves more room.
	maxProbeTimeout = 5 * time.Second
)

// View is what decides who probes: the believed list and the bundle in force.
type View struct {
	Instances []string // Names of the listed entry instances that are not leaving.
	Targets   []Target
}

// Target is a service with its listed backend servers that are not leaving, in order of address.
type Target struct {
	Service string
	Probe   parser.Probe // Without zero values.
	Servers []netip.AddrPort
}

// Join builds the view of list l and bundle b, either of which may be nil.
func Join(l *reader.List, b *parser.Bundle) View {
	var v View
	if l == nil || b == nil {
		return v
	}
	servers := make(map[string][]netip.AddrPort)
	for i := range l.Entries {
		switch e := &l.Entries[i]; {
		case e.Leaving:
		case e.Service == "":
			v.Instances = append(v.Instances, e.Name)
		default:
			servers[e.Service] = append(servers[e.Service], e.Address)
		}
	}
	for i := range b.Services {
		s := &b.Services[i]
		if addresses := servers[s.Name]; len(addresses) > 0 {
			slices.SortFunc(addresses, netip.AddrPort.Compare)
			v.Targets = append(v.Targets, Target{Service: s.Name, Probe: s.Probe.WithDefaults(), Servers: slices.Compact(addresses)})
		}
	}
	return v
}

// Turn is the right of one instance to probe a backend server in one time slot.
type Turn struct {
	Service string
	Server  netip.AddrPort
	Probe   parser.Probe
	Middle  time.Time // Time at which the probe is sent.
}

// Number returns the number of the time slot that contains now.
func Number(now time.Time, period time.Duration) int64 { return now.UnixNano() / int64(period) }

// Middle returns the middle of time slot n.
func Middle(n int64, period time.Duration) time.Time {
	return time.Unix(0, n*int64(period)+int64(period)/2)
}

// Owner returns the instance that may probe server in time slot n; "" without instances.
func Owner(server netip.AddrPort, n int64, instances []string) string {
	return placer.First(server.String()+"/"+strconv.FormatInt(n, 10), instances)
}

// OnTurn reports whether the server at position i of count servers is probed
// by anyone in time slot n. Each list names at most total / (2 x cost)
// servers for a time slot, so two lists stay within the total budget.
func OnTurn(i, count int, n int64, p parser.Probe) bool {
	serversPerTimeSlot := max(1, int(p.Total/(2*p.Cost)))
	groups := int64((count + serversPerTimeSlot - 1) / serversPerTimeSlot)
	return (int64(i)+n)%groups == 0
}

// Late returns how long after the middle of its time slot a probe may still
// be sent: what the period leaves beside the window and the clock errors of two instances.
func Late(p parser.Probe) time.Duration {
	return min(maxSendTolerance, max(0, p.Period.Std()-budgetWindow-2*maxClockError)+minSendTolerance)
}

// Timeout returns the longest duration of a probe. A probe ends before the
// next time slot's probe of the same backend server can start on any instance
// with the same list.
func Timeout(p parser.Probe) time.Duration {
	return min(maxProbeTimeout, p.Period.Std()-2*maxClockError-Late(p))
}
