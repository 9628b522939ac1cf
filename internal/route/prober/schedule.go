package prober

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

const (
	// budgetWindow is the time in which probes may take at most the budget.
	budgetWindow = time.Second
	// maxClockError bounds the error of the clock of each instance. A clock may
	// err by 99 ms; the remaining 1 ms of two clocks is used for minSendTolerance.
	maxClockError = 100 * time.Millisecond
	// minSendTolerance is the time after the middle of its time slot for which a
	// probe may be sent when the period is the shortest possible.
	minSendTolerance = 2 * time.Millisecond
	// maxSendTolerance bounds the send tolerance that a longer period allows.
	maxSendTolerance = 100 * time.Millisecond
	// maxProbeTimeout bounds the duration of a probe that a longer period allows.
	maxProbeTimeout = 5 * time.Second
)

// View holds what the schedule of probes is computed from: the instances and the
// backend servers of the platform's list and the probe settings of the services.
type View struct {
	Instances []string // Names of the listed instances that are not leaving.
	Targets   []Target
}

// Target is a service with those of its listed backend servers that are not leaving.
type Target struct {
	Service string
	Probe   parser.Probe     // Defaults are filled in.
	Servers []netip.AddrPort // In order of address.
}

// NewView returns the view of list l and bundle b. It is empty when either is nil.
func NewView(l *reader.List, b *parser.Bundle) View {
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

// Assignment permits one instance to probe a backend server in one time slot.
type Assignment struct {
	Service  string
	Server   netip.AddrPort
	Probe    parser.Probe
	SendTime time.Time // Middle of the time slot, when the probe is sent.
}

// TimeSlotNumber returns the number of the time slot that contains now.
func TimeSlotNumber(now time.Time, period time.Duration) int64 { return now.UnixNano() / int64(period) }

// TimeSlotMiddle returns the middle of time slot n.
func TimeSlotMiddle(n int64, period time.Duration) time.Time {
	return time.Unix(0, n*int64(period)+int64(period)/2)
}

// ScheduledInstance returns the instance that may probe server in time slot n, by
// rendezvous hashing. It is "" when there are no instances.
func ScheduledInstance(server netip.AddrPort, n int64, instances []string) string {
	return hasher.TopName(server.String()+"/"+strconv.FormatInt(n, 10), instances)
}

// IsScheduled reports whether any instance may probe the server at position i of
// count servers in time slot n. A list schedules at most total / (2 x cost)
// servers in a time slot, at least 1, where total is the budget of the service and
// cost the time of one probe. The probes of instances with two different lists
// together therefore stay within the budget.
func IsScheduled(i, count int, n int64, p parser.Probe) bool {
	serversPerTimeSlot := max(1, int(p.Total/(2*p.Cost)))
	groups := int64((count + serversPerTimeSlot - 1) / serversPerTimeSlot)
	return (int64(i)+n)%groups == 0
}

// SendTolerance returns the time after the middle of its time slot for which a
// probe may still be sent: the part of the period that remains after the budget
// window and the clock errors of two instances.
func SendTolerance(p parser.Probe) time.Duration {
	return min(maxSendTolerance, max(0, p.Period.AsDuration()-budgetWindow-2*maxClockError)+minSendTolerance)
}

// ProbeTimeout returns the longest duration of a probe. It makes a probe end
// before any instance with the same list can start the probe of the same backend
// server in the next time slot.
func ProbeTimeout(p parser.Probe) time.Duration {
	return min(maxProbeTimeout, p.Period.AsDuration()-2*maxClockError-SendTolerance(p))
}
