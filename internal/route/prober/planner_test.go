package prober_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/prober"
)

var epoch = time.Unix(1_700_000_000, 0)

// maxClockErrorMillis is the largest clock error in whole milliseconds, less than 100 ms.
const maxClockErrorMillis = 99

func newView(probe parser.Probe, instances []string, servers int) prober.View {
	l := new(reader.List)
	for _, name := range instances {
		l.Entries = append(l.Entries, reader.Entry{Name: name})
	}
	for i := range servers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 80)
		l.Entries = append(l.Entries, reader.Entry{Service: "a", Name: fmt.Sprint(i), Address: addr})
	}
	return prober.NewView(l, &parser.Bundle{Services: []parser.Service{{Name: "a", Probe: probe}}})
}

func instanceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprint("i", i)
	}
	return names
}

// process is one process of an instance. Its times are true times unless stated otherwise.
type process struct {
	name        string
	clockOffset time.Duration // Clock of the process minus true time.
	from, to    time.Time
	viewChange  time.Time // Time of the change from the first view to the second.
	sendDelay   time.Duration
	probeTime   time.Duration // Time from a probe to its response.
}

// sentProbe is a probe with its true send time.
type sentProbe struct {
	server netip.AddrPort
	at     time.Time
}

// sendProbes returns the probes that the process sends.
func (p *process) sendProbes(first, second prober.View) []sentProbe {
	planner := &prober.Planner{InstanceName: p.name, ProcessStart: p.from.Add(p.clockOffset)}
	var probes []sentProbe
	for now := p.from.Add(p.clockOffset); ; {
		v := first
		if now.Add(-p.clockOffset).After(p.viewChange) {
			v = second
		}
		now = prober.NextProbeTime(now, v)
		sent := now.Add(p.sendDelay)
		if sent.Add(-p.clockOffset).After(p.to) {
			return probes
		}
		for _, assignment := range planner.DueAssignments(now, v, nil) {
			if !planner.ReserveServer(assignment) {
				continue
			}
			took := time.Duration(0)
			if planner.ConfirmSend(assignment, sent) {
				probes = append(probes, sentProbe{assignment.Server, sent.Add(-p.clockOffset)})
				took = min(p.probeTime, prober.ProbeTimeout(assignment.Probe))
			}
			planner.ReleaseServer(assignment, took)
		}
	}
}

// TestBudget guards against probes of all instances together that exceed the
// budget of one backend server or one service within any second. It covers
// instances with two different lists, clock errors, probes that are sent late,
// slow servers and replaced processes.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		probe := parser.Probe{Cost: parser.Duration(5 * time.Millisecond), Budget: parser.Duration(10 * time.Millisecond)}
		servers := rapid.IntRange(1, 12).Draw(t, "servers")
		probe.Total = probe.Cost * parser.Duration(2*rapid.IntRange(1, servers).Draw(t, "share"))
		probe.Period = parser.Duration(1200+rapid.IntRange(0, 500).Draw(t, "period")) * parser.Duration(time.Millisecond)
		instances := instanceNames(rapid.IntRange(1, 6).Draw(t, "instances"))
		first := newView(probe, instances, servers)
		second := newView(probe, instances[rapid.IntRange(0, len(instances)-1).Draw(t, "removed"):], rapid.IntRange(1, servers).Draw(t, "left"))
		var probes []sentProbe
		for _, name := range instances {
			for _, proc := range drawProcesses(t, name) {
				probes = append(probes, proc.sendProbes(first, second)...)
			}
		}
		checkProbeRate(t, probes, int(probe.Total/probe.Cost), "service")
		for _, server := range first.Targets[0].Servers {
			serverProbes := slices.DeleteFunc(slices.Clone(probes), func(r sentProbe) bool { return r.server != server })
			checkProbeRate(t, serverProbes, int(probe.Budget/probe.Cost), server.String())
		}
	})
}

// drawProcesses draws a process of an instance, and in some cases a second one that replaces it without a gap.
func drawProcesses(t *rapid.T, name string) []process {
	drawMillis := func(label string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name+" "+label)) * time.Millisecond
	}
	// Two views that differ for the whole time are drawn more often than a uniform choice would.
	change := []time.Duration{0, time.Minute, drawMillis("change", 0, 30000)}[rapid.IntRange(0, 2).Draw(t, name+" view")]
	start, end := epoch.Add(-time.Minute), epoch.Add(30*time.Second)
	drawProcess := func(from, to time.Time) process {
		return process{
			name: name, from: from, to: to, viewChange: epoch.Add(change), sendDelay: drawMillis("late", 0, 12),
			clockOffset: drawMillis("clock", -maxClockErrorMillis, maxClockErrorMillis), probeTime: drawMillis("slow", 0, 40),
		}
	}
	if !rapid.Bool().Draw(t, name+" replaced") {
		return []process{drawProcess(start, end)}
	}
	replacedAt := epoch.Add(drawMillis("replaced", 0, 30000))
	return []process{drawProcess(start, replacedAt), drawProcess(replacedAt, end)}
}

// checkProbeRate fails the test if more than limit probes were sent within any second.
func checkProbeRate(t *rapid.T, probes []sentProbe, limit int, subject string) {
	slices.SortFunc(probes, func(a, b sentProbe) int { return a.at.Compare(b.at) })
	for i := range probes {
		n := 0
		for n < len(probes)-i && probes[i+n].at.Sub(probes[i].at) < time.Second {
			n++
		}
		if n > limit {
			t.Fatalf("%s: got %d probes in the second from %v, want at most %d", subject, n, probes[i].at, limit)
		}
	}
}

// TestProcessReplacement guards against a process that probes a backend server in
// the same time slot as the process that it replaces, because its clock is behind.
func TestProcessReplacement(t *testing.T) {
	v := newView(parser.Probe{}, instanceNames(1), 1)
	replacedAt := prober.NextProbeTime(epoch, v).Add(-maxClockErrorMillis*time.Millisecond + 1) // Directly after a probe.
	replacedProcess := process{name: "i0", clockOffset: maxClockErrorMillis * time.Millisecond, from: epoch.Add(-time.Minute), to: replacedAt}
	replacement := process{name: "i0", clockOffset: -maxClockErrorMillis * time.Millisecond, from: replacedAt, to: epoch.Add(time.Minute)}
	probes := append(replacedProcess.sendProbes(v, v), replacement.sendProbes(v, v)...)
	for i := range probes[1:] {
		if got := probes[i+1].at.Sub(probes[i].at); got < time.Second {
			t.Errorf("got %v between the probes %d and %d, want at least 1 s", got, i, i+1)
		}
	}
	if got := len(probes); got < 60 {
		t.Errorf("got %d probes in 2 min, want at least 60", got)
	}
}

// TestClockError guards against a period that is too short for clock errors of
// 99 ms in opposite directions and probes that are sent as late as allowed, and
// against a send time so near to the boundary of a time slot that two clocks give
// it different numbers.
func TestClockError(t *testing.T) {
	p := newView(parser.Probe{}, instanceNames(1), 1).Targets[0].Probe
	n := prober.TimeSlotNumber(epoch, p.Period.AsDuration())
	for _, e := range []time.Duration{-maxClockErrorMillis, maxClockErrorMillis} {
		if got := prober.TimeSlotNumber(prober.TimeSlotMiddle(n, p.Period.AsDuration()).Add(e*time.Millisecond), p.Period.AsDuration()); got != n {
			t.Errorf("got time slot %d on a clock that errs by %d ms, want %d", got, e, n)
		}
	}
	last := prober.TimeSlotMiddle(n, p.Period.AsDuration()).Add(maxClockErrorMillis * time.Millisecond).Add(prober.SendTolerance(p))
	next := prober.TimeSlotMiddle(n+1, p.Period.AsDuration()).Add(-maxClockErrorMillis * time.Millisecond)
	if got := next.Sub(last); got < time.Second {
		t.Errorf("got %v between two probes, want at least 1 s", got)
	}
	if end := last.Add(prober.ProbeTimeout(p)); end.After(next) {
		t.Errorf("got end of a probe at %v, want no later than the next at %v", end, next)
	}
}

// TestEveryServerScheduled guards against backend servers that are never assigned to an instance.
func TestEveryServerScheduled(t *testing.T) {
	v := newView(parser.Probe{Total: parser.Duration(6 * time.Millisecond)}, instanceNames(4), 20)
	counts := make(map[netip.AddrPort]int)
	for _, name := range v.Instances {
		p := &prober.Planner{InstanceName: name}
		now := epoch
		for range 70 {
			now = prober.NextProbeTime(now, v)
			for _, assignment := range p.DueAssignments(now, v, nil) {
				counts[assignment.Server]++
			}
		}
	}
	for _, server := range v.Targets[0].Servers {
		if got, want := counts[server], 10; got != want {
			t.Errorf("%v: got %d assignments in 70 time slots with 3 of 20 servers each, want %d", server, got, want)
		}
	}
}

// TestProbeTimeDeficit guards against an overloaded server whose slow probes use
// more time than the budget in the long run, and against a deficit that never
// ends.
func TestProbeTimeDeficit(t *testing.T) {
	v := newView(parser.Probe{}, instanceNames(3), 1)
	const probeTime = 60 * time.Millisecond
	var spent time.Duration
	planners := make([]prober.Planner, len(v.Instances))
	for i, name := range v.Instances {
		planners[i] = prober.Planner{InstanceName: name, ProcessStart: epoch.Add(-time.Minute)}
	}
	for now := epoch; now.Before(epoch.Add(time.Hour)); {
		now = prober.NextProbeTime(now, v)
		for i := range planners {
			for _, assignment := range planners[i].DueAssignments(now, v, nil) {
				if planners[i].ReserveServer(assignment) && planners[i].ConfirmSend(assignment, now) {
					spent += probeTime
					planners[i].ReleaseServer(assignment, probeTime)
				}
			}
		}
	}
	// One list uses half of the budget; the first probe of each instance is sent without a deficit.
	limit := 3600*v.Targets[0].Probe.Budget.AsDuration()/2 + time.Duration(len(planners))*probeTime
	if spent > limit || spent < limit*8/10 {
		t.Errorf("got %v of probe time in an hour, want between 80%% and 100%% of %v", spent, limit)
	}
}

// TestSendConditions guards against probes that are sent after a suspension of
// the process, after its clock was set back, shortly after its start, or while
// another probe of the same server is running.
func TestSendConditions(t *testing.T) {
	v := newView(parser.Probe{}, instanceNames(1), 1)
	slotMiddle := prober.NextProbeTime(epoch, v)
	for _, c := range []struct {
		name  string
		start time.Time
		late  time.Duration
		want  bool
	}{
		{"in time", epoch.Add(-time.Minute), 0, true},
		{"late", epoch.Add(-time.Minute), 2 * time.Millisecond, true},
		{"slept", epoch.Add(-time.Minute), 3 * time.Millisecond, false},
		{"early", epoch.Add(-time.Minute), -1, false},
		{"new", slotMiddle.Add(-5*time.Second + 1), 0, false},
		{"old enough", slotMiddle.Add(-5 * time.Second), 0, true},
	} {
		p := &prober.Planner{InstanceName: "i0", ProcessStart: c.start}
		assignment := p.DueAssignments(slotMiddle, v, nil)[0]
		if got := p.ReserveServer(assignment) && p.ConfirmSend(assignment, slotMiddle.Add(c.late)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	p := &prober.Planner{InstanceName: "i0", ProcessStart: epoch.Add(-time.Minute)}
	assignment := p.DueAssignments(slotMiddle, v, nil)[0]
	if !p.ReserveServer(assignment) || !p.ConfirmSend(assignment, slotMiddle) || p.ReserveServer(assignment) {
		t.Error("got a second probe beside a running one")
	}
	p.ReleaseServer(assignment, 0)
	if !p.ReserveServer(assignment) || p.ConfirmSend(assignment, slotMiddle) {
		t.Error("got a second probe in one time slot after the clock was set back")
	}
}

// BenchmarkDueProbes measures the selection of assignments at the target size of
// 2,000 backend servers and 130 instances, when all or none of the servers are
// idle.
func BenchmarkDueProbes(b *testing.B) {
	for _, idle := range []bool{true, false} {
		b.Run(fmt.Sprint("idle=", idle), func(b *testing.B) {
			v := newView(parser.Probe{Total: parser.Duration(time.Hour)}, instanceNames(130), 2000)
			p := &prober.Planner{InstanceName: "i0"}
			slotMiddle := epoch
			for b.Loop() {
				slotMiddle = prober.NextProbeTime(slotMiddle, v)
				p.DueAssignments(slotMiddle, v, func(string, netip.AddrPort) bool { return idle })
			}
		})
	}
}
