package allocator

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/tracker"
)

// ServerStatus is the state of a backend server as seen by the home of its
// pool.
type ServerStatus struct {
	Name          string
	Address       netip.AddrPort
	State         tracker.State
	Slots         int
	Limit         int
	InFlight      int
	Free          int     // Number of calls that may be granted now.
	Score         float64 // In seconds; lower is better.
	Latency       time.Duration
	FailureRatio  float64       // Share of failed calls in the failure window.
	ReportedCalls int           // Calls in flight in the last load report; -1 without a report.
	ReportAge     time.Duration // Age of the load report.
	Cold          time.Duration // Time for which the server is still cold and its calls are limited; 0 when it is not.
	BlockedReason string        // Why the server gets no calls; empty if it does get calls.
}

// RankStatus is the state of the queue of one rank.
type RankStatus struct {
	Rank          parser.Rank
	Queued        int
	Granted       uint64
	Refused       map[string]uint64 // Number of refusals by reason.
	EstimatedWait time.Duration     // Estimated wait of a new request.
}

// PoolStatus is the state of a pool.
type PoolStatus struct {
	Key     PoolKey
	Slots   int // Number of calls that the pool may run at a time.
	Reserve int // Number of free slots reserved for urgent calls.
	Servers []ServerStatus
	Ranks   []RankStatus
}

// Status returns the current state of the pool.
func (p *Pool) Status(now time.Time) PoolStatus {
	s := PoolStatus{Key: p.Key, Slots: p.totalSlots(now), Reserve: p.urgentReserve(now)}
	for _, server := range p.servers.Servers() {
		s.Servers = append(s.Servers, p.serverStatus(now, server))
	}
	for r := parser.Urgent; r <= parser.Patient; r++ {
		q := &p.queues[r]
		refused := make(map[string]uint64, len(q.refused))
		for reason, n := range q.refused {
			refused[reason] = n
		}
		s.Ranks = append(s.Ranks, RankStatus{
			Rank: r, Queued: q.len(), Granted: q.granted, Refused: refused, EstimatedWait: p.queueWait(now, r),
		})
	}
	return s
}

func (p *Pool) serverStatus(now time.Time, server *tracker.Server) ServerStatus {
	ratio, _ := server.FailureRatio(now, p.servers.Settings.FailureWindow)
	reportedCalls, age := p.servers.LastLoadReport(now, server)
	s := ServerStatus{
		Name: server.Name, Address: server.Address, State: server.State(now), Slots: p.servers.Settings.Slots,
		Limit: server.Limit(), InFlight: server.InFlight(), Free: server.FreeSlots(now), Score: p.serverScore(now, server),
		Latency: p.servers.ExpectedLatency(now, server), FailureRatio: ratio, ReportedCalls: reportedCalls, ReportAge: age,
	}
	if p.isLimited(now, server) {
		s.Cold = server.ColdUntil().Sub(now)
	}
	switch {
	case s.State != tracker.Ready && s.State != tracker.Trial:
		s.BlockedReason = s.State.String()
	case !p.allowsCold(now, server):
		s.BlockedReason = p.coldReason()
	case s.Free > 0:
	case s.InFlight >= s.Limit:
		s.BlockedReason = fmt.Sprintf("%d of %d slots in use", s.InFlight, s.Limit)
	case server.LostCalls(now) > 0:
		s.BlockedReason = "slots held by calls without an answer"
	default:
		s.BlockedReason = "slots kept closed after fast failures"
	}
	return s
}

// PoolStatuses returns the state of all pools, sorted by service, zone and shard.
func (al *Allocator) PoolStatuses() []PoolStatus { return al.collectStatuses(nil) }

// ServicePoolStatuses returns the state of the pools of service. The servers of each
// pool are in the order in which they would get the next call: those that get
// calls first, each group by score.
func (al *Allocator) ServicePoolStatuses(service string) []PoolStatus {
	all := al.collectStatuses(func(k PoolKey) bool { return k.Service == service })
	for i := range all {
		slices.SortStableFunc(all[i].Servers, func(a, b ServerStatus) int {
			return cmp.Or(cmp.Compare(len(a.BlockedReason), 0)-cmp.Compare(len(b.BlockedReason), 0), cmp.Compare(a.Score, b.Score))
		})
	}
	return all
}

func (al *Allocator) collectStatuses(match func(PoolKey) bool) []PoolStatus {
	var commands []*command
	al.sendToPools(match, func() *command {
		r := &command{op: opStatus, status: make(chan PoolStatus, 1)}
		commands = append(commands, r)
		return r
	})
	var all []PoolStatus
	for _, r := range commands {
		select {
		case s := <-r.status:
			all = append(all, s)
		case <-time.After(time.Second): // The pool was stopped in the meantime.
		}
	}
	slices.SortFunc(all, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Zone, b.Key.Zone), cmp.Compare(a.Key.Shard, b.Key.Shard))
	})
	return all
}
