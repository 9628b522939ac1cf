package withholder

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/operator/meter"
	"sardinelever.example/sardinelever/internal/route/router"
)

// Lifetime identifies one run of a backend server's process.
type Lifetime struct {
	Name         string
	ProcessStart uint64 // As in router.BackendServer; 0 when unknown.
}

// LifetimeOf returns the lifetime of s according to the platform's list.
func LifetimeOf(s *router.BackendServer) Lifetime { return Lifetime{s.Name, s.ProcessStart} }

// Source names what told this instance of a change, in the log and the metrics.
type Source string

// The sources in this instance; those in other instances are made by FromInstance.
const (
	FromRequest Source = "request" // Response to a call, also to its second send.
	FromRefusal Source = "refusal" // Response that states that the call did not run, also with status 421.
	FromLate    Source = "late"    // Late response to an earlier call.
	FromProbe   Source = "probe"
)

const instancePrefix = "instance "

// FromInstance returns the source for a message of the named instance.
func FromInstance(name string) Source { return Source(instancePrefix + name) }

func (s Source) isInstance() bool { return strings.HasPrefix(string(s), instancePrefix) }

// kind returns the source without the name of an instance.
func (s Source) kind() string {
	if s.isInstance() {
		return strings.TrimSpace(instancePrefix)
	}
	return string(s)
}

// Withholder holds the statements of all backend servers. Its methods are safe for
// concurrent use; those of a nil *Withholder know of no statement. The exported fields
// are set before the first call.
type Withholder struct {
	Audit   *auditor.Trail
	Metrics *meter.Metrics // nil means that nothing is counted.
	Log     *log.Logger    // nil means log.DefaultLogger.
	// OnOwnLeaving is called for each lifetime that has told this instance itself that
	// it is leaving; it must not block. It may be nil.
	OnOwnLeaving func(Lifetime)

	count   atomic.Int64 // Number of servers; lets IsWithheld skip the lock while there is none.
	mu      sync.Mutex
	servers map[Lifetime]*serverState
	changed chan struct{} // Closed and replaced at each change.

	evacuations atomic.Pointer[[]Evacuation] // Evacuated availability zones; see SetEvacuatedZones.

	leavingCount atomic.Uint64 // Number of lifetimes that became known to be leaving.
}

// serverState holds the statements of one lifetime.
type serverState struct {
	leaving  bool
	listedAt time.Time // Last time at which the lifetime was listed or a statement arrived.

	pause         pause
	invalidLogged bool // An invalid time of a pause was logged.
}

const (
	// unlistedRetention is how long a statement is kept of a lifetime that the platform
	// does not list. It exceeds the time for which a process that stops, or a copy of the
	// store that lists it again, is to be expected.
	unlistedRetention = 24 * time.Hour
	// maxServers bounds the memory, at about 100 bytes for each lifetime.
	maxServers = 1 << 12
)

// HasStatements reports whether any statement or evacuation is known.
func (w *Withholder) HasStatements() bool {
	return w != nil && (w.count.Load() > 0 || len(w.Evacuations()) > 0)
}

// IsWithheld reports whether no call and no probe may start at l now.
func (w *Withholder) IsWithheld(now time.Time, l Lifetime) bool {
	if !w.HasStatements() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[l]
	return s != nil && (s.leaving || s.pause.wait(now) > 0)
}

// IsLeaving reports whether l has stated that it is leaving.
func (w *Withholder) IsLeaving(l Lifetime) bool {
	if !w.HasStatements() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.servers[l]
	return s != nil && s.leaving
}

// RecordLeaving records that l has stated that it is leaving, and reports whether
// this was not known before.
func (w *Withholder) RecordLeaving(now time.Time, l Lifetime, source Source) bool {
	if w == nil || l.Name == "" {
		return false
	}
	w.mu.Lock()
	s := w.stateOf(now, l)
	changed := !s.leaving
	s.leaving, s.listedAt = true, now
	if changed {
		w.leavingCount.Add(1)
		w.notify()
	}
	w.mu.Unlock()
	if changed {
		if w.OnOwnLeaving != nil && !source.isInstance() {
			w.OnOwnLeaving(l)
		}
		w.report(now, l, source)
	}
	return changed
}

// stateOf returns the state of l and adds it if there is none. w.mu must be held.
func (w *Withholder) stateOf(now time.Time, l Lifetime) *serverState {
	if s := w.servers[l]; s != nil {
		return s
	}
	if w.servers == nil {
		w.servers = make(map[Lifetime]*serverState)
	}
	if len(w.servers) >= maxServers {
		w.dropOldest()
	}
	s := &serverState{listedAt: now}
	w.servers[l] = s
	w.count.Store(int64(len(w.servers)))
	return s
}

// dropOldest removes the lifetime that has not been listed for the longest time.
func (w *Withholder) dropOldest() {
	var oldest Lifetime
	var at time.Time
	for l, s := range w.servers {
		if at.IsZero() || s.listedAt.Before(at) {
			oldest, at = l, s.listedAt
		}
	}
	delete(w.servers, oldest)
}

// notify wakes those who wait for a change. w.mu must be held.
func (w *Withholder) notify() {
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// Changed returns a channel that is closed at the next change of a statement. It is
// nil for a nil *Withholder.
func (w *Withholder) Changed() <-chan struct{} {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return w.changed
}

// LeavingCount returns the number of lifetimes that have become known to be leaving.
func (w *Withholder) LeavingCount() uint64 { return w.leavingCount.Load() }

// LeavingLifetimes returns all lifetimes that have stated that they are leaving.
func (w *Withholder) LeavingLifetimes() []Lifetime {
	if !w.HasStatements() {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var leaving []Lifetime
	for l, s := range w.servers {
		if s.leaving {
			leaving = append(leaving, l)
		}
	}
	return leaving
}

// MarkLeaving sets Leaving for the servers in t that have stated that they are
// leaving. It must be called before t is in use. It also drops statements of
// lifetimes that have not been listed for long.
func (w *Withholder) MarkLeaving(now time.Time, t *router.RoutingTable) {
	if !w.HasStatements() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, service := range t.Services {
		for i := range service.Servers {
			if s := w.servers[LifetimeOf(&service.Servers[i])]; s != nil {
				s.listedAt = now
				service.Servers[i].Leaving = service.Servers[i].Leaving || s.leaving
			}
		}
	}
	for l, s := range w.servers {
		// Without a start, a later process has the same lifetime, so its absence from
		// the list is the only sign of the end.
		if unlisted := now.Sub(s.listedAt); unlisted > unlistedRetention || unlisted > 0 && l.ProcessStart == 0 {
			delete(w.servers, l)
		}
	}
	w.count.Store(int64(len(w.servers)))
}

// report adds a change to the audit trail, which logs it, and counts it.
func (w *Withholder) report(now time.Time, l Lifetime, source Source) {
	w.Audit.RecordChange(auditor.Change{
		Time: now, Component: "route", Subject: l.Name, Cause: "statement of the server: " + string(source),
		Before: "not withheld", After: "leaving",
	})
	if w.Metrics != nil {
		w.Metrics.LeavingSigns.WithLabelValues(source.kind()).Inc()
	}
}
