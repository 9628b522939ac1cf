package watcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

// sourceReader reads the records from one source at a time: the store or another
// instance. Each instance runs two with different sources, so that its records stay
// up to date while one source fails or loses contact to the store.
type sourceReader struct {
	*Watcher
	index int // 0 or 1, the index in Watcher.sourceNames.
}

// run reads until ctx is done.
func (r *sourceReader) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for ctx.Err() == nil {
		r.applyHeldDeletions()
		r.readOnce(ctx)
	}
}

// readOnce loads all records, watches the store once or follows another instance
// until its feed ends. Without a source it waits for sourceCheckPeriod.
func (r *sourceReader) readOnce(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	_, loaded := r.table.Revision()
	r.mu.Unlock()
	if !loaded && r.index == 0 && r.mayCallStore(now) {
		r.loadRecords(ctx, true)
		return
	}
	source, self := r.chooseSource(now)
	switch {
	case self && loaded:
		r.watchStore(ctx)
	case source != nil:
		r.followMember(ctx, *source)
	default:
		sleeper.Sleep(ctx, sourceCheckPeriod)
	}
}

// mayCallStore reports whether the delay after a failed call to the store has passed.
func (w *Watcher) mayCallStore(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !now.Before(w.nextStoreCall)
}

// chooseSource returns the instance to follow, or sets self when this instance is to
// read the store. It returns neither when there is no source. The sources are the
// first members of the region in rendezvous order, without those that failed
// recently; the two readers of an instance never use the same one. A source that is
// still among them is kept.
func (r *sourceReader) chooseSource(now time.Time) (m *registrar.Member, self bool) {
	members := r.Fleet.UsableMembers("", r.Region)
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(members)+1)
	for i := range members {
		n := members[i].Name
		if n != r.Name && !now.Before(r.avoided[n].until) {
			names = append(names, n)
		}
	}
	if !now.Before(r.nextStoreCall) {
		names = append(names, r.Name)
	}
	names = hasher.RankNames("records", names)
	names = slices.DeleteFunc(names[:min(sourceCount, len(names))], func(n string) bool {
		return n == r.sourceNames[sourceCount-1-r.index]
	})
	if len(names) == 0 {
		r.sourceNames[r.index] = ""
		return nil, false
	}
	name := names[0]
	if slices.Contains(names, r.sourceNames[r.index]) {
		name = r.sourceNames[r.index]
	}
	r.sourceNames[r.index] = name
	if name == r.Name {
		return nil, true
	}
	for i := range members {
		if members[i].Name == name {
			return &members[i], false
		}
	}
	return nil, false
}
