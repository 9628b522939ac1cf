package watcher

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/recoverer"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/instance/detector"
)

// sourceReader reads the records from one source at a time: the store or another
// instance. Each instance runs two with different sources, so that its records stay
// up to date while one source fails or loses contact to the store.
type sourceReader struct {
	*Watcher
	index          int      // 0 or 1, the index in Watcher.sources.
	synced         bool     // The feed has carried records.
	mode           feedMode // What the feed carries.
	sourcePosition Position // Position that the last message of the feed named; zero before.
	deliveredUpTo  uint64   // Revision up to which the feed has delivered all changes.
	watching       bool     // The last source was the store.
}

// feedMode is what a follower subscribes to.
type feedMode uint8

const (
	changedRecords feedMode = iota // The records after the known position.
	allRecords                     // All records, because the known ones are not those of the store.
	noRecords                      // The position alone, because the other reader delivers the records.
)

// run reads until ctx is done.
func (r *sourceReader) run(ctx context.Context, done *sync.WaitGroup) {
	defer done.Done()
	for ctx.Err() == nil {
		r.applyHeldDeletions()
		r.expireOverwritten()
		r.readOnce(ctx)
	}
}

// readOnce loads all records, watches the store once or follows another instance
// until its feed ends. Without a source it waits for sourceCheckPeriod.
func (r *sourceReader) readOnce(ctx context.Context) {
	defer recoverer.Catch("reading of records", func() { sleeper.Sleep(ctx, maxRetryDelay) })
	now := time.Now()
	r.mu.Lock()
	_, loaded := r.table.Position()
	r.mu.Unlock()
	if !loaded && r.index == 0 && r.mayCallStore(now) {
		r.loadFirstRecords(ctx)
		return
	}
	source, self := r.chooseSource(now)
	switch {
	case self && loaded:
		timeout := watchTimeout
		if !r.watching {
			timeout = firstWatchTimeout
		}
		r.watching = true
		r.recordMessage(r.watchStore(ctx, timeout))
		// After a pause of the process, the next watch confirms the records at once.
		r.watching = detector.Elapsed(now, time.Now()) <= 2*(timeout+watchResponseMargin)
	case source != nil:
		r.watching = false
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
// read the store. It returns neither when there is no source. The two readers of an
// instance never use the same one.
func (r *sourceReader) chooseSource(now time.Time) (m *registrar.Member, self bool) {
	members := r.Fleet.UsableMembers("", r.Region)
	r.mu.Lock()
	defer r.mu.Unlock()
	current, other := &r.sources[r.index], &r.sources[sourceCount-1-r.index]
	names := slices.DeleteFunc(r.sourceNamesAt(members, now), func(n string) bool { return n == other.name })
	if len(names) == 0 {
		*current = source{}
		return nil, false
	}
	if !keepSource(current, other, names, now) {
		*current = source{name: names[0], since: now}
	}
	if current.name == r.Name {
		return nil, true
	}
	for i := range members {
		if members[i].Name == current.name {
			return &members[i], false
		}
	}
	return nil, false
}

// keepSource reports whether a reader is to keep its current source, which has to be
// among names: the preferred one, or one with contact to the store. After a failure
// of the preferred ones, only one reader at a time returns to them, because they may
// not have recovered.
func keepSource(current, other *source, names []string, now time.Time) bool {
	i := slices.Index(names, current.name)
	switch {
	case i < 0:
		return false
	case i == 0:
		return true
	}
	return current.fresh && (!other.fresh || now.Sub(current.since) < stableFeedTime || now.Sub(other.since) < returnInterval)
}

// recordMessage records whether the current source has contact to the store.
func (r *sourceReader) recordMessage(fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources[r.index].fresh = fresh
}

// sourceNamesAt returns the names of the sources to use, the preferred one first. The
// caller must hold w.mu.
func (w *Watcher) sourceNamesAt(members []registrar.Member, now time.Time) []string {
	s := w.rankedSources(members)
	mayCallStore := !now.Before(w.nextStoreCall)
	names := s.Candidates(w.avoidFunc(now))
	if !mayCallStore {
		names = slices.DeleteFunc(names, func(n string) bool { return n == w.Name })
	}
	switch {
	case now.Before(w.peersExpectedBy) && (len(s.Members) == 1 || w.Bootstrap):
		return nil // Too few other instances are known yet.
	case !mayCallStore || slices.Contains(names, w.Name):
	case w.unreachableSources >= maxUnreachable, now.After(w.storeCallBy):
		names = slices.Insert(names, 0, w.Name)
	}
	if len(names) > 0 {
		return names
	}
	// All are avoided. Those whose turn is next are used meanwhile: a source that is
	// stale tells when its contact to the store is back.
	names = slices.DeleteFunc(s.Candidates(func(string) bool { return false }), func(n string) bool { return n == w.Name })
	slices.SortStableFunc(names, func(a, b string) int { return w.avoided[a].until.Compare(w.avoided[b].until) })
	return names
}

// rankedSources returns the ranking of members, which is kept until they change. The
// caller must hold w.mu.
func (w *Watcher) rankedSources(members []registrar.Member) *Sources {
	if w.ranking != nil && len(members) > 0 && w.rankedMembers == &members[0] && w.rankedCount == len(members) {
		return w.ranking
	}
	self := registrar.Member{Name: w.Name, Zone: w.Zone, Region: w.Region}
	w.ranking, w.rankedCount = &Sources{Self: self, Members: members}, len(members)
	if w.rankedCount > 0 {
		w.rankedMembers = &members[0]
	}
	if !slices.ContainsFunc(members, func(m registrar.Member) bool { return m.Name == w.Name }) {
		// An instance that shuts down is no member, but still needs its records.
		w.ranking.Members = append(slices.Clip(members), self)
	}
	return w.ranking
}

// avoidFunc returns a function that reports whether the named instance is avoided at now.
// The caller must hold w.mu.
func (w *Watcher) avoidFunc(now time.Time) func(name string) bool {
	return func(n string) bool { return now.Before(w.avoided[n].until) }
}

// mayLeave reports whether the reader is to leave its stale source, the one named. An
// instance that takes over from those that read the store does so at once. The others
// stay for stalePatience, because their sources regain contact through it; if all
// looked for other sources, they would avoid the good ones too.
func (r *sourceReader) mayLeave(name string) bool {
	now := time.Now()
	members := r.Fleet.UsableMembers("", r.Region)
	r.mu.Lock()
	defer r.mu.Unlock()
	takesOver := slices.Contains(r.rankedSources(members).regionCandidates(r.avoidFunc(now)), r.Name)
	if !takesOver && now.Sub(r.table.ConfirmedAt()) < staleAge+stalePatience {
		return false
	}
	other := r.sources[sourceCount-1-r.index].name
	return slices.ContainsFunc(r.sourceNamesAt(members, now), func(n string) bool {
		return n != name && n != other && !now.Before(r.avoided[n].until)
	})
}

// postponeStoreCall sets when this instance reads the store although others are to do
// so, which happens only if none of them has contact to it. The time is spread over
// the fleet, so that its instances together make at most about lonelyCallsPerSecond.
// The caller must hold w.mu.
func (w *Watcher) postponeStoreCall(now time.Time, fleetSize int) {
	spread := time.Duration(float64(fleetSize) / lonelyCallsPerSecond * float64(time.Second))
	w.storeCallBy = now.Add(staleAge + time.Second + rand.N(spread+1))
}
