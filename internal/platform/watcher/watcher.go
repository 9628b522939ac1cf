package watcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// MemberLister lists the instances that may be followed; *registrar.Registrar implements it.
type MemberLister interface {
	UsableMembers(zone, region string) []registrar.Member
}

// StreamOpener opens streams to other instances; *connector.Connector implements it.
type StreamOpener interface {
	OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error)
}

// Watcher keeps this instance's copy of the platform's records up to date, publishes
// the list of backend servers and the bundles that they hold, and serves them to
// other instances over streams of kind connector.FeedStream. The exported fields must
// be set before Run.
type Watcher struct {
	Store        Store
	Decoder      Decoder
	Name         string // Name of this instance.
	Zone         string
	Region       string
	HasSeeds     bool // The other instances are learned from seeds after the start.
	Bootstrap    bool // The whole fleet starts for the first time.
	Fleet        MemberLister
	StreamOpener StreamOpener
	BundleSink   reader.BundleSink
	OnChange     func(*reader.List) // Called with each changed list; it must not block.
	Audit        *auditor.Trail
	Log          *log.Logger // nil means log.DefaultLogger.

	mu      sync.Mutex
	table   Table
	changed chan struct{}        // Closed and replaced at each change of the records or of the contact to the store.
	avoided map[string]avoidance // Sources that failed, by name of the instance.
	sources [sourceCount]source  // Source of each reader.

	ranking            *Sources          // Ranking of the rankedCount members that begin at rankedMembers.
	rankedMembers      *registrar.Member // The Fleet returns the same members until they change.
	rankedCount        int
	confirmedBy        string    // Name of the instance to which the store confirmed the records last.
	unreachableSources int       // Number of sources in a row that could not be reached.
	storeCallBy        time.Time // Time from which this instance reads the store if it has had no fresh source.
	peersExpectedBy    time.Time // Time until which other instances may become known after the start.

	// updateMu serializes updateTable, so that changes from both readers are
	// published in order and none is skipped.
	updateMu sync.Mutex

	latestList     atomic.Pointer[reader.List]
	callCount      atomic.Int64
	storeFailing   atomic.Bool
	decodedEntries map[string]decodedEntry // Result of the decoding of each record, by key; avoids decoding a record again.
	malformedKeys  map[string]bool         // Keys of malformed records that were logged.
	nextStoreCall  time.Time               // No call to the store is made before this time.
	retryDelay     time.Duration
}

// source is an instance that a reader follows, or this instance if it reads the store.
type source struct {
	name  string // Empty for none.
	since time.Time
	fresh bool // It has contact to the store, by its last message.
}

// avoidance says until when a source that failed is not followed, and for how long
// that is in total.
type avoidance struct {
	until    time.Time
	duration time.Duration
}

// decodedEntry is the result of decoding the record with the given revision.
type decodedEntry struct {
	revision uint64
	entry    reader.Entry
	ok       bool
}

const (
	// watchTimeout is the time for which the store waits for changes, and
	// watchResponseMargin the time in which its response must then arrive. A broken
	// connection is noticed within their sum, which leaves time to use another
	// source within the 2 s in which a new configuration must take effect.
	watchTimeout        = 700 * time.Millisecond
	watchResponseMargin = 300 * time.Millisecond
	// firstWatchTimeout replaces watchTimeout in the first watch of an instance that
	// takes over from others. An instance without contact to the store thus notices
	// that within firstWatchTimeout + watchResponseMargin.
	firstWatchTimeout = 20 * time.Millisecond
	// rangeTimeout is the timeout of a read of one page of records.
	rangeTimeout = time.Second
	// watchSpacing is the delay between a change and the next watch, so that one
	// watch returns several changes in quick succession.
	watchSpacing = 250 * time.Millisecond
	// feedTimeout is the time without a message from the followed instance after
	// which another source is used. One lost packet delays a message by less.
	feedTimeout = 500 * time.Millisecond
	// feedPeriod is the time between two messages of a feed while nothing changes.
	feedPeriod = 200 * time.Millisecond
	// standbyDelay is the time after a change within which the other feed of the
	// follower is to deliver it. After that the standby feed announces it.
	standbyDelay = 100 * time.Millisecond
	// staleAge is the time without confirmation from which records are out of date.
	// The store confirms them after each watch, and each hop adds up to a feedPeriod.
	staleAge = watchTimeout + watchResponseMargin + 2*feedPeriod
	// stalePatience is the time after staleAge for which most instances wait for
	// those that read the store, and those that take over from them.
	stalePatience = 200 * time.Millisecond
	// feedOpenTimeout is the timeout for opening a feed.
	feedOpenTimeout = 150 * time.Millisecond
	// minAvoidDuration is the time for which a source is not followed after its
	// first failure. It doubles up to maxAvoidDuration with each further failure,
	// because the store may refuse an instance for a long time. A feed that lasted
	// for stableFeedTime resets it.
	minAvoidDuration = time.Second
	maxAvoidDuration = 16 * time.Second
	stableFeedTime   = 5 * time.Second
	// returnInterval is the time between the returns of the two readers to preferred
	// sources.
	returnInterval = time.Second
	// maxUnreachable is the number of sources in a row that cannot be reached after
	// which this instance counts as cut off from the others and reads the store.
	maxUnreachable = 3
	// lonelyCallsPerSecond bounds the first calls to the store, of all instances
	// together, that are made because no other instance has contact to it.
	lonelyCallsPerSecond = 20.0
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls to the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// sourceCheckPeriod is the time between two searches for a source while there is none.
	sourceCheckPeriod = 20 * time.Millisecond
	// peersWait is the time within which an instance that starts learns of another
	// one through its seeds. When the whole fleet starts, bootstrapPeersWait is the
	// time within which its instances know most of each other, and bootstrapWait that
	// within which they have the records from those that read them.
	peersWait          = 150 * time.Millisecond
	bootstrapPeersWait = 700 * time.Millisecond
	bootstrapWait      = 2 * time.Second
	// maxSubscribeBytes bounds a message of a follower.
	maxSubscribeBytes = 64
)

var (
	errFeedEnded = errors.New("feed timed out or was closed")
	errStale     = errors.New("followed instance has lost contact to the store")
	errNoRecords = errors.New("followed instance has no records")
)

// List returns the latest list of backend servers; it is nil before the first load.
func (w *Watcher) List() *reader.List { return w.latestList.Load() }

// ConfirmedAt returns the time at which the records were last known to equal those
// of the store.
func (w *Watcher) ConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.ConfirmedAt()
}

// CallCount returns the number of calls to the store so far.
func (w *Watcher) CallCount() int64 { return w.callCount.Load() }

// Revision returns the revision up to which all changes are known.
func (w *Watcher) Revision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision, _ := w.table.Revision()
	return revision
}

// Run keeps the records up to date until ctx is done and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.initOnFirstUse()
	w.mu.Lock()
	now := time.Now()
	switch {
	case w.HasSeeds && w.Bootstrap:
		w.peersExpectedBy = now.Add(bootstrapPeersWait)
	case w.HasSeeds:
		w.peersExpectedBy = now.Add(peersWait)
	}
	w.postponeStoreCall(now, 1)
	w.mu.Unlock()
	var readers sync.WaitGroup
	for i := range sourceCount {
		readers.Add(1)
		go (&sourceReader{Watcher: w, index: i}).run(ctx, &readers)
	}
	readers.Wait()
	return nil
}

// initOnFirstUse sets defaults and creates the channel and the maps on the first
// call; streams may be served before Run.
func (w *Watcher) initOnFirstUse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		if w.Log == nil {
			w.Log = &log.DefaultLogger
		}
		w.changed, w.avoided = make(chan struct{}), make(map[string]avoidance)
		w.decodedEntries, w.malformedKeys = make(map[string]decodedEntry), make(map[string]bool)
	}
}

// loadFirstRecords reads the records of an instance that starts, unless another
// instance delivers them first. In a fleet that starts as a whole, only the instances
// that others follow read more than the first page.
func (w *Watcher) loadFirstRecords(ctx context.Context) {
	deadline := time.Now()
	if w.Bootstrap {
		deadline = deadline.Add(bootstrapWait)
	}
	w.loadRecords(ctx, true, func() bool {
		for time.Now().Before(deadline) && !w.isCandidate() && !w.isLoaded() {
			sleeper.Sleep(ctx, sourceCheckPeriod)
		}
		return !w.isLoaded() && ctx.Err() == nil
	})
}

// isLoaded reports whether all records were loaded.
func (w *Watcher) isLoaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, loaded := w.table.Revision()
	return loaded
}

// isCandidate reports whether others are to follow this instance, as far as it knows
// them.
func (w *Watcher) isCandidate() bool {
	members, now := w.Fleet.UsableMembers("", w.Region), time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	return !now.Before(w.peersExpectedBy) && slices.Contains(w.sourceNamesAt(members, now), w.Name)
}

// loadRecords reads all records from the store, page by page, and reports whether it
// did. It stops without effect when proceed, which is called between the pages, returns
// false. A stale result does not count as confirmed by the store.
func (w *Watcher) loadRecords(ctx context.Context, stale bool, proceed func() bool) bool {
	start := time.Now()
	var all Batch
	for after := ""; ; {
		page, err := w.readPage(ctx, after, stale)
		if w.handleCallResult(ctx, err, "range") {
			return false
		}
		if after == "" {
			all.Revision = page.Revision // A watch from the first page's revision also has what changed between the pages.
		}
		all.Records = append(all.Records, page.Records...)
		if after = page.Next; after == "" {
			break
		}
		if !proceed() {
			return false
		}
	}
	confirmedBy := w.Name
	if stale {
		confirmedBy = ""
	}
	w.updateTable(start, confirmedBy, func(now time.Time) []Record { return w.table.LoadAll(now, all) })
	return true
}

func (w *Watcher) readPage(ctx context.Context, after string, stale bool) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	w.callCount.Add(1)
	return w.Store.ReadPage(ctx, after, stale)
}

// watchStore waits once, for at most timeout, for changes in the store and applies them.
// It reports whether the store responded.
func (w *Watcher) watchStore(ctx context.Context, timeout time.Duration) bool {
	watchCtx, cancel := context.WithTimeout(ctx, timeout+watchResponseMargin)
	defer cancel()
	revision := w.Revision()
	w.callCount.Add(1)
	b, err := w.Store.Watch(watchCtx, revision, timeout)
	if errors.Is(err, ErrCompacted) {
		w.Log.Warn().Uint64("after", revision).Msg("platform: store has compacted the changes; reading all records again")
		return w.loadRecords(ctx, false, func() bool { return ctx.Err() == nil })
	}
	if w.handleCallResult(ctx, err, "watch") {
		return false
	}
	w.updateTable(time.Now(), w.Name, func(now time.Time) []Record { return w.table.ApplyChanges(now, b) })
	if len(b.Records) > 0 {
		sleeper.Sleep(ctx, watchSpacing)
	}
	return true
}

// handleCallResult updates the backoff after a call to the store, logs when calls
// begin or cease to fail and reports whether this call failed.
func (w *Watcher) handleCallResult(ctx context.Context, err error, call string) bool {
	if err == nil {
		if w.storeFailing.Swap(false) {
			w.Log.Info().Uint64("revision", w.Revision()).Msg("platform: store responds again")
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.retryDelay, w.nextStoreCall = 0, time.Time{}
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	if !w.storeFailing.Swap(true) {
		w.Log.Warn().Str("call", call).Err(err).Uint64("revision", w.Revision()).Dur("age", time.Since(w.ConfirmedAt())).
			Msg("platform: store does not respond to this instance; following other instances")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*w.retryDelay))
	now := time.Now()
	w.nextStoreCall = now.Add(w.retryDelay/2 + rand.N(w.retryDelay/2+1))
	if now.After(w.storeCallBy) {
		w.postponeStoreCall(now, len(w.Fleet.UsableMembers("", w.Region)))
	}
	w.notifyFollowers() // Followers must look for another source at once.
	return true
}

// updateTable calls apply on the table and publishes the changed records. Unless it is
// empty, confirmedBy names the instance to which the store confirmed the records as of
// confirmedAt.
func (w *Watcher) updateTable(confirmedAt time.Time, confirmedBy string, apply func(now time.Time) []Record) {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	live, revision, changed := w.updateLockedTable(confirmedAt, confirmedBy, apply)
	if len(changed) > 0 || w.latestList.Load() == nil {
		w.publishChanges(revision, live, changed)
	}
}

// updateLockedTable calls apply on the locked table. It returns the changed records and,
// if the list has to be published, all records.
func (w *Watcher) updateLockedTable(confirmedAt time.Time, confirmedBy string, apply func(now time.Time) []Record) (live []Record, revision uint64, changed []Record) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.table.ConfirmedAt().IsZero()
	if confirmedBy != "" {
		if confirmedAt.After(w.table.ConfirmedAt()) {
			w.confirmedBy = confirmedBy
		}
		w.table.RecordConfirmation(now, confirmedAt)
	}
	changed = apply(now)
	if len(changed) > 0 || w.latestList.Load() == nil {
		live = w.table.LiveRecords()
	}
	revision, _ = w.table.Revision()
	if now.Sub(w.table.ConfirmedAt()) < staleAge {
		w.postponeStoreCall(now, len(w.Fleet.UsableMembers("", w.Region)))
	}
	if len(changed) > 0 || confirmedBy != "" && first {
		w.notifyFollowers()
	}
	return live, revision, changed
}

// notifyFollowers wakes the streams to followers. The caller must hold w.mu.
func (w *Watcher) notifyFollowers() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// applyHeldDeletions applies the held deletions once their hold time is over.
func (w *Watcher) applyHeldDeletions() {
	w.mu.Lock()
	held := w.table.HeldCount()
	w.mu.Unlock()
	if held > 0 {
		w.updateTable(time.Time{}, "", w.table.ApplyHeldDeletions)
	}
}

// publishChanges passes changed bundles to BundleSink and publishes the list of backend
// servers. The caller must hold w.updateMu.
func (w *Watcher) publishChanges(revision uint64, live, changed []Record) {
	list := &reader.List{Time: time.Now(), Entries: w.decodeEntries(live)}
	for _, r := range changed {
		if r.Deleted {
			delete(w.decodedEntries, r.Key)
			w.auditRecord(r.Key, "deleted", revision)
			continue
		}
		w.offerBundle(r)
	}
	w.latestList.Store(list)
	if w.OnChange != nil {
		w.OnChange(list)
	}
}

// decodeEntries returns the backend servers in records. Only one process at a time
// can use an address, so of several entries with the same address the one that
// started last is returned.
func (w *Watcher) decodeEntries(records []Record) []reader.Entry {
	var out []reader.Entry
	indexByAddress := make(map[netip.AddrPort]int)
	for _, r := range records {
		e, ok := w.decodeEntry(r)
		if !ok {
			continue
		}
		i, taken := indexByAddress[e.Address]
		switch {
		case !taken:
			indexByAddress[e.Address] = len(out)
			out = append(out, e)
		case e.ProcessStart > out[i].ProcessStart:
			out[i] = e
		}
	}
	return out
}

// decodeEntry returns the backend server in r, decoded once for each revision, and
// records each new one in the audit trail.
func (w *Watcher) decodeEntry(r Record) (reader.Entry, bool) {
	if d, ok := w.decodedEntries[r.Key]; ok && d.revision == r.Revision {
		return d.entry, d.ok
	}
	e, ok, err := w.Decoder.DecodeEntry(r)
	w.logMalformed(r, err)
	w.decodedEntries[r.Key] = decodedEntry{r.Revision, e, ok}
	if ok {
		state := "ready"
		if e.Leaving {
			state = "leaving"
		}
		w.auditRecord(r.Key, state+" at "+e.Address.String()+" for "+e.Service, r.Revision)
	}
	return e, ok
}

// offerBundle passes the bundle in r, if any, to BundleSink.
func (w *Watcher) offerBundle(r Record) {
	text, err := w.Decoder.DecodeBundle(r)
	w.logMalformed(r, err)
	if text == nil {
		return
	}
	changed, err := w.BundleSink.OfferBundle(text, "platform")
	switch {
	case err != nil:
		w.Log.Error().Err(err).Uint64("revision", r.Revision).Msg("config: bundle rejected; the active one stays")
	case changed:
		w.Log.Info().Uint64("revision", r.Revision).Msg("config: bundle accepted from the platform")
	}
}

// logMalformed logs a record that cannot be decoded, once for each key. The number
// of logged keys is bounded.
func (w *Watcher) logMalformed(r Record, err error) {
	if err == nil {
		return
	}
	if len(w.malformedKeys) < maxTombstones && !w.malformedKeys[r.Key] {
		w.malformedKeys[r.Key] = true
		w.Log.Warn().Str("key", r.Key).Uint64("revision", r.Revision).Err(err).Msg("platform: malformed record ignored")
	}
}

func (w *Watcher) auditRecord(key, after string, revision uint64) {
	w.Audit.RecordChange(auditor.Change{
		Component: "platform", Subject: key, Cause: "record of revision " + strconv.FormatUint(revision, 10), Before: "-", After: after,
	})
}
