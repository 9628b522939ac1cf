package watcher

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/flow/sleeper"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
)

// Fleet names the other instances; *registrar.Registrar implements it.
type Fleet interface {
	Usable(zone, region string) []registrar.Member
}

// Links open streams to other instances; *linker.Linker implements them.
type Links interface {
	Open(ctx context.Context, peer netip.AddrPort, k linker.Kind) (net.Conn, error)
}

// Watcher follows the platform's records. It handles the linker's streams of
// kind Feed. The exported fields are set before Run.
type Watcher struct {
	Store   Store
	Decoder Decoder
	Name    string // Name of this instance.
	Region  string
	Fleet   Fleet
	Links   Links
	Keeper  reader.Offerer
	Update  func(*reader.List) // Update is called with each changed list; it must not block.
	Audit   *auditor.Auditor
	Log     *log.Logger // nil means log.DefaultLogger.

	mu          sync.Mutex
	table       Table
	changed     chan struct{}        // Closed and replaced at each change.
	avoided     map[string]avoidance // By name of the instance.
	sourceNames [sourceCount]string  // Name of the source of each lane.

	// updateMu serializes take, so that the lists and bundles of both lanes are
	// published in the order of their changes and none is passed over.
	updateMu sync.Mutex

	latestList     atomic.Pointer[reader.List]
	callCount      atomic.Int64
	storeFailing   atomic.Bool
	decodedEntries map[string]decodedEntry // Entries by key.
	malformedKeys  map[string]bool         // Keys of records that could not be decoded.
	nextStoreCall  time.Time               // No call to the store before this time.
	retryDelay     time.Duration
}

// avoidance says how long a source that failed is not followed.
type avoidance struct {
	until    time.Time
	duration time.Duration
}

// decodedEntry is the backend server of a record of some revision.
type decodedEntry struct {
	revision uint64
	entry    reader.Entry
	ok       bool
}

const (
	// sourceCount is the number of sources of an instance.
	sourceCount = 2
	// watchTimeout bounds a watch, and watchGrace its answer: a path that went
	// silent is noticed within their sum, which leaves time for another source
	// within the 2 s in which a configuration must be in force.
	watchTimeout        = time.Second
	watchResponseMargin = 300 * time.Millisecond
	// rangeTimeout bounds a read of all records.
	rangeTimeout = time.Second
	// watchSpacing is the time between a change and the next watch, so that changes
	// in quick succession share a call.
	watchSpacing = 250 * time.Millisecond
	// feedTimeout is the time without a word of the followed instance after which
	// another source is used.
	feedTimeout = 1200 * time.Millisecond
	// feedPeriod is the time between two messages of a feed without changes.
	feedPeriod = 400 * time.Millisecond
	// staleAge is the age from which records do not count as those of the store.
	staleAge = watchTimeout + watchResponseMargin + 200*time.Millisecond
	// feedOpenTimeout bounds the opening of a feed.
	feedOpenTimeout = 300 * time.Millisecond
	// minAvoidDuration is the time for which a source that failed is not followed. It
	// doubles up to mostAvoid with each further failure of a source that did not
	// last for steady in between: the store may turn an instance away for long.
	minAvoidDuration = 3 * time.Second
	maxAvoidDuration = 24 * time.Second
	stableFeedTime   = 5 * time.Second
	// minRetryDelay and mostDelay bound the delay after failed calls to the store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// sourceCheckPeriod is the time between two looks for a source when there is none.
	sourceCheckPeriod = 50 * time.Millisecond
)

var (
	errSilent = errors.New("feed is silent")
	errStale  = errors.New("feed has no contact to the store")
)

// List returns the latest list, nil before the first load.
func (w *Watcher) List() *reader.List { return w.latestList.Load() }

// Confirmed returns the time at which the list was that of the store.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Confirmed()
}

// Calls returns the number of calls to the store so far.
func (w *Watcher) Calls() int64 { return w.callCount.Load() }

// At returns the revision up to which the records are known.
func (w *Watcher) At() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision, _ := w.table.At()
	return revision
}

// Run follows the records until ctx is done and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.setDefaults()
	var readers sync.WaitGroup
	for i := range sourceCount {
		readers.Add(1)
		go (&sourceReader{Watcher: w, index: i}).run(ctx, &readers)
	}
	readers.Wait()
	return nil
}

func (w *Watcher) setDefaults() {
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

// loadRecords reads all records.
func (w *Watcher) loadRecords(ctx context.Context, stale bool) {
	readCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	start := time.Now()
	w.callCount.Add(1)
	b, err := w.Store.Range(readCtx, stale)
	if w.handleCallResult(ctx, err, "range") {
		return
	}
	w.updateTable(start, !stale, func(now time.Time) []Record { return w.table.Load(now, b) })
}

// watchStore waits once for changes.
func (w *Watcher) watchStore(ctx context.Context) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout+watchResponseMargin)
	defer cancel()
	revision := w.At()
	w.callCount.Add(1)
	b, err := w.Store.Watch(watchCtx, revision, watchTimeout)
	if errors.Is(err, ErrCompacted) {
		w.Log.Warn().Uint64("after", revision).Msg("platform: changes are no longer known, all records are read again")
		w.loadRecords(ctx, false)
		return
	}
	if w.handleCallResult(ctx, err, "watch") {
		return
	}
	w.updateTable(time.Now(), true, func(now time.Time) []Record { return w.table.Apply(now, b) })
	if len(b.Records) > 0 {
		sleeper.Sleep(ctx, watchSpacing)
	}
}

// handleCallResult notes the result of a call to the store.
func (w *Watcher) handleCallResult(ctx context.Context, err error, call string) bool {
	if err == nil {
		if w.storeFailing.Swap(false) {
			w.Log.Info().Uint64("revision", w.At()).Msg("platform: store answers again")
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
		w.Log.Warn().Str("call", call).Err(err).Uint64("revision", w.At()).Dur("age", time.Since(w.Confirmed())).
			Msg("platform: store does not answer this instance; other instances are asked")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*w.retryDelay))
	w.nextStoreCall = time.Now().Add(w.retryDelay/2 + rand.N(w.retryDelay/2+1))
	w.notifyFollowers() // Followers look for another source at once.
	return true
}

// updateTable applies a change of the table and publishes what follows from it.
func (w *Watcher) updateTable(confirmedAt time.Time, confirms bool, apply func(now time.Time) []Record) {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	now := time.Now()
	w.mu.Lock()
	first := w.table.Confirmed().IsZero()
	if confirms {
		w.table.Confirm(now, confirmedAt)
	}
	changed := apply(now)
	live := w.table.Live()
	revision, _ := w.table.At()
	if len(changed) > 0 || confirms && first {
		w.notifyFollowers()
	}
	w.mu.Unlock()
	if len(changed) > 0 || w.latestList.Load() == nil {
		w.publishChanges(revision, live, changed)
	}
}

// notifyFollowers tells the followers that there is news; w.mu is held.
func (w *Watcher) notifyFollowers() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) expireDeletions() {
	w.mu.Lock()
	held := w.table.Held()
	w.mu.Unlock()
	if held > 0 {
		w.updateTable(time.Time{}, false, w.table.Expire)
	}
}

// publishChanges offers changed bundles and builds the list of backend servers; w.taking is held.
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
	if w.Update != nil {
		w.Update(list)
	}
}

// decodeEntries returns the backend servers in records. An address serves one process
// at a time, so of several entries with one address the youngest counts.
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
		case e.Born > out[i].Born:
			out[i] = e
		}
	}
	return out
}

func (w *Watcher) decodeEntry(r Record) (reader.Entry, bool) {
	if d, ok := w.decodedEntries[r.Key]; ok && d.revision == r.Revision {
		return d.entry, d.ok
	}
	e, ok, err := w.Decoder.Entry(r)
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

func (w *Watcher) offerBundle(r Record) {
	text, err := w.Decoder.Bundle(r)
	w.logMalformed(r, err)
	if text == nil {
		return
	}
	changed, err := w.Keeper.Offer(text, "platform")
	switch {
	case err != nil:
		w.Log.Error().Err(err).Uint64("revision", r.Revision).Msg("config: bundle refused, the one in force stays")
	case changed:
		w.Log.Info().Uint64("revision", r.Revision).Msg("config: bundle accepted from the platform")
	}
}

// logMalformed logs a record that cannot be decoded, once for each key.
func (w *Watcher) logMalformed(r Record, err error) {
	if err == nil {
		return
	}
	if len(w.malformedKeys) < maxTombstones && !w.malformedKeys[r.Key] {
		w.malformedKeys[r.Key] = true
		w.Log.Warn().Str("key", r.Key).Uint64("revision", r.Revision).Err(err).Msg("platform: record is ignored")
	}
}

func (w *Watcher) auditRecord(key, after string, revision uint64) {
	w.Audit.Note(auditor.Change{
		Part: "platform", Subject: key, Cause: "record of revision " + strconv.FormatUint(revision, 10), Before: "-", After: after,
	})
}
