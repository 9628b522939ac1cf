package reader

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// ListFollower polls the platform's list and holds the latest one that a
// RemovalGuard accepted. The exported fields must be set before Run.
type ListFollower struct {
	Client     *Client
	PollPeriod time.Duration    // Time between two reads, with jitter; 0 means 1s.
	HoldTime   time.Duration    // See RemovalGuard; 0 means 60s.
	IsSilent   func(Entry) bool // See RemovalGuard.
	OnChange   func(*List)      // Called with the first accepted list and after each change of it; it must not block.
	Audit      *auditor.Trail
	Log        *log.Logger // nil means log.DefaultLogger.

	guard        RemovalGuard
	heldServices []string
	latest       *List  // Last list that the platform sent, accepted or not.
	latestTag    string // Entity tag of latest.
	pollFailed   bool
	accepted     atomic.Pointer[List]
	lastRead     atomic.Int64
	lastResponse atomic.Int64
}

const (
	defaultPollPeriod = time.Second
	maxPollRetryDelay = 4 * time.Second // Bounds the time until a leaving backend server is known once the platform responds again.
	listReadTimeout   = 3 * time.Second // Timeout of one read.
)

// List returns the accepted list, which must not be modified; it is nil before
// the first read.
func (f *ListFollower) List() *List { return f.accepted.Load() }

// LastRead returns the time of the last successful read whose instances were
// accepted as listed; it is zero before the first. A read after which missing
// instances are kept does not count: an instance that keeps entries which the
// list no longer has must not claim to know the current list.
func (f *ListFollower) LastRead() time.Time { return timeFromUnixNano(f.lastRead.Load()) }

// LastResponse returns the time of the last valid response of the platform, whether
// or not its list was accepted as sent.
func (f *ListFollower) LastResponse() time.Time { return timeFromUnixNano(f.lastResponse.Load()) }

// Run polls the list until ctx is done and returns nil.
func (f *ListFollower) Run(ctx context.Context) error {
	if f.PollPeriod == 0 {
		f.PollPeriod = defaultPollPeriod
	}
	if f.Log == nil {
		f.Log = &log.DefaultLogger
	}
	f.guard = RemovalGuard{HoldTime: f.HoldTime, IsSilent: f.IsSilent}
	retryBackoff := backoff{minDelay: f.PollPeriod, maxDelay: max(f.PollPeriod, maxPollRetryDelay)}
	for ctx.Err() == nil {
		start := time.Now()
		err := f.pollList(ctx)
		delay := addJitter(f.PollPeriod)
		if err != nil {
			delay = retryBackoff.nextDelay()
		} else {
			retryBackoff.reset()
			f.applyList(start, f.latest)
		}
		f.logAvailability(err)
		sleeper.Sleep(ctx, delay)
	}
	return nil
}

// pollList reads the list into f.latest, unless its entity tag is unchanged.
func (f *ListFollower) pollList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	l, tag, err := f.Client.ReadListIfChanged(ctx, f.latestTag)
	if err != nil {
		return err
	}
	f.latestTag = tag
	if l != nil {
		f.latest = l
	}
	return nil
}

// logAvailability logs the first failure and the first success after failures.
func (f *ListFollower) logAvailability(err error) {
	switch {
	case err != nil && !f.pollFailed:
		f.Log.Warn().Err(err).Msg("platform: cannot read the list; keeping the last one")
	case err == nil && f.pollFailed:
		f.Log.Info().Msg("platform: list can be read again")
	}
	f.pollFailed = err != nil
}

// applyList passes a list through the guard, publishes the accepted list and
// records the changes in the audit trail. The time of the request counts as the
// time of the read, because the list may be as old as that.
func (f *ListFollower) applyList(requested time.Time, l *List) {
	before := f.accepted.Load()
	accepted, held, outdated := f.guard.ApplyList(time.Now(), l)
	f.lastResponse.Store(requested.UnixNano())
	if !outdated && !slices.Contains(held, "") {
		f.lastRead.Store(requested.UnixNano())
	}
	if !outdated && !slices.Equal(held, f.heldServices) {
		cause := "lost more than half of a kind"
		if len(held) == 0 {
			cause = "is applied in full again"
		}
		f.note("list", cause, describeHeldServices(f.heldServices), describeHeldServices(held))
		f.heldServices = held
	}
	f.accepted.Store(accepted)
	if before != nil && slices.Equal(before.Entries, accepted.Entries) {
		return
	}
	f.auditEntries(before, accepted)
	if f.OnChange != nil {
		f.OnChange(accepted)
	}
}

// auditEntries records the entries that were added, changed or removed.
func (f *ListFollower) auditEntries(before, after *List) {
	if before == nil {
		f.note("list", "first read", "none", fmt.Sprintf("%d entries", len(after.Entries)))
		return
	}
	previous := make(map[entryKey]Entry, len(before.Entries))
	for _, e := range before.Entries {
		previous[keyOf(&e)] = e
	}
	for _, e := range after.Entries {
		previousEntry, known := previous[keyOf(&e)]
		delete(previous, keyOf(&e))
		if !known {
			f.note(e.Name, "joined the list", "not listed", describeEntry(e))
		} else if previousEntry != e {
			f.note(e.Name, "changed in the list", describeEntry(previousEntry), describeEntry(e))
		}
	}
	for _, e := range previous {
		f.note(e.Name, "left the list", describeEntry(e), "not listed")
	}
}

func (f *ListFollower) note(subject, cause, before, after string) {
	f.Audit.RecordChange(auditor.Change{Component: "platform", Subject: subject, Cause: cause, Before: before, After: after})
}

func describeEntry(e Entry) string {
	kind := e.Service
	if kind == "" {
		kind = "instance"
	}
	s := fmt.Sprintf("%s %v in zone %s", kind, e.Address, e.Zone)
	if e.Leaving {
		s += ", leaving"
	}
	return s
}

// describeHeldServices names the services whose missing entries are kept, for an
// audit entry. The services are sorted, so "" for the instances comes first.
func describeHeldServices(services []string) string {
	if len(services) == 0 {
		return "applied"
	}
	names := slices.Clone(services)
	if names[0] == "" {
		names[0] = "instances"
	}
	return "lost entries stay: " + strings.Join(names, ", ")
}

// timeFromUnixNano returns the zero time for 0.
func timeFromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
