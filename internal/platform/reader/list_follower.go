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

// ListFollower polls the platform's list and keeps the believed one. The
// exported fields are set before Run.
type ListFollower struct {
	Client *Client
	Period time.Duration    // Time between two reads, with jitter; 0 means 1s.
	Hold   time.Duration    // See Guard; 0 means 60s.
	Silent func(Entry) bool // See Guard.
	Update func(*List)      // Update is called with each changed believed list, the first included; it must not block.
	Audit  *auditor.Auditor
	Log    *log.Logger // nil means log.DefaultLogger.

	guard  Guard
	held   []string
	latest *List  // Last list that the platform sent.
	tag    string // Entity tag of latest.
	failed bool
	list   atomic.Pointer[List]
	read   atomic.Int64
	answer atomic.Int64
}

const (
	defaultPeriod = time.Second
	maxListDelay  = 4 * time.Second // A backend server that leaves must be known within seconds once the platform answers again.
	maxListTime   = 3 * time.Second // Timeout of one read.
)

// List returns the believed list, which must not be modified; nil before the first read.
func (f *ListFollower) List() *List { return f.list.Load() }

// Read returns the time of the last successful read whose entry instances
// took effect. A read during which entry instances are held does not count:
// an instance that believes entries that the list no longer has must not
// claim to know the present list. It is zero before the first read.
func (f *ListFollower) Read() time.Time { return fromNanos(f.read.Load()) }

// Answered returns the time of the last answer of the platform, held or not.
func (f *ListFollower) Answered() time.Time { return fromNanos(f.answer.Load()) }

// Run polls until ctx is done and returns nil.
func (f *ListFollower) Run(ctx context.Context) error {
	if f.Period == 0 {
		f.Period = defaultPeriod
	}
	if f.Log == nil {
		f.Log = &log.DefaultLogger
	}
	f.guard = Guard{Hold: f.Hold, Silent: f.Silent}
	delay := backoff{least: f.Period, most: max(f.Period, maxListDelay)}
	for ctx.Err() == nil {
		start := time.Now()
		err := f.poll(ctx)
		wait := spread(f.Period)
		if err != nil {
			wait = delay.next()
		} else {
			delay.reset()
			f.apply(start, f.latest)
		}
		f.report(err)
		sleeper.Sleep(ctx, wait)
	}
	return nil
}

// poll reads the list into latest, unless it is the same as before.
func (f *ListFollower) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, maxListTime)
	defer cancel()
	l, tag, err := f.Client.ListUnless(ctx, f.tag)
	if err != nil {
		return err
	}
	f.tag = tag
	if l != nil {
		f.latest = l
	}
	return nil
}

// report logs the first failure and the first success after failures.
func (f *ListFollower) report(err error) {
	switch {
	case err != nil && !f.failed:
		f.Log.Warn().Err(err).Msg("platform: list cannot be read; the last one stays in use")
	case err == nil && f.failed:
		f.Log.Info().Msg("platform: list can be read again")
	}
	f.failed = err != nil
}

// apply takes a list that was requested at start. The request time counts as
// the time of the read, because the answer is no younger than that.
func (f *ListFollower) apply(start time.Time, l *List) {
	before := f.list.Load()
	believed, held, old := f.guard.Apply(time.Now(), l)
	f.answer.Store(start.UnixNano())
	if !old && !slices.Contains(held, "") {
		f.read.Store(start.UnixNano())
	}
	if !old && !slices.Equal(held, f.held) {
		cause := "lost more than half of a kind"
		if len(held) == 0 {
			cause = "is applied in full again"
		}
		f.note("list", cause, kinds(f.held), kinds(held))
		f.held = held
	}
	f.list.Store(believed)
	if before != nil && slices.Equal(before.Entries, believed.Entries) {
		return
	}
	f.auditEntries(before, believed)
	if f.Update != nil {
		f.Update(believed)
	}
}

func (f *ListFollower) auditEntries(before, after *List) {
	if before == nil {
		f.note("list", "first read", "none", fmt.Sprintf("%d entries", len(after.Entries)))
		return
	}
	old := make(map[identity]Entry, len(before.Entries))
	for _, e := range before.Entries {
		old[id(&e)] = e
	}
	for _, e := range after.Entries {
		b, known := old[id(&e)]
		delete(old, id(&e))
		if !known {
			f.note(e.Name, "joined the list", "not listed", describe(e))
		} else if b != e {
			f.note(e.Name, "changed in the list", describe(b), describe(e))
		}
	}
	for _, e := range old {
		f.note(e.Name, "left the list", describe(e), "not listed")
	}
}

func (f *ListFollower) note(subject, cause, before, after string) {
	f.Audit.Note(auditor.Change{Part: "platform", Subject: subject, Cause: cause, Before: before, After: after})
}

func describe(e Entry) string {
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

// kinds names the kinds whose lost entries stay in use.
func kinds(services []string) string {
	if len(services) == 0 {
		return "applied"
	}
	names := slices.Clone(services)
	if names[0] == "" {
		names[0] = "instances"
	}
	return "lost entries stay: " + strings.Join(names, ", ")
}

func fromNanos(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
