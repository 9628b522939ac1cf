package watcher

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
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

	packer recordPacker

	latestList     atomic.Pointer[reader.List]
	callCount      atomic.Int64
	storeFailing   atomic.Bool
	bundleRefused  atomic.Bool             // The bundle in the records is not in force.
	decodedEntries map[string]decodedEntry // Result of the decoding of each record, by key.
	nextHoldEnd    time.Time               // First end of a hold in decodedEntries; zero for none.
	evacuations    map[string]string       // Evacuated availability zone of each order, by key.
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

// decodedEntry is the result of decoding a record.
type decodedEntry struct {
	entry   reader.Entry
	ok      bool
	changed bool // The record has changed since.
	held    heldEntry
}

// confirmation says that the records at an epoch were known to equal those of the store.
type confirmation struct {
	at    time.Time
	by    string // Name of the instance to which the store confirmed them; empty for no confirmation.
	epoch uint64
}

const (
	// watchTimeout is the time for which the store waits for changes, and
	// watchResponseMargin the time in which its response must then begin to arrive. A broken
	// connection is noticed within their sum, which leaves time to use another
	// source within the 2 s in which a new configuration must take effect.
	watchTimeout        = 700 * time.Millisecond
	watchResponseMargin = 300 * time.Millisecond
	// firstWatchTimeout replaces watchTimeout in the first watch of an instance that
	// takes over from others. An instance without contact to the store thus notices
	// that within firstWatchTimeout + watchResponseMargin.
	firstWatchTimeout = 20 * time.Millisecond
	// rangeTimeout is the time in which the response with one page of records must begin
	// to arrive.
	rangeTimeout = time.Second
	// watchSpacing is the delay between a change and the next watch, so that one
	// watch returns several changes in quick succession.
	watchSpacing = 250 * time.Millisecond
	// feedTimeout is the time without a message from the followed instance after
	// which another source is used. One lost packet delays a message by less.
	feedTimeout = 500 * time.Millisecond
	// maxReadTime is the longest time between the start of a read, whose deadline is
	// feedTimeout, and its result in a process that runs.
	maxReadTime = 2 * feedTimeout
	// piecesTimeout is the time for all pieces of one message. At 10 Mbit/s, 15 followers
	// of one instance get 1 MiB each in 13 s.
	piecesTimeout = 15 * time.Second
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
	// minRetryDelay is also the delay after a failure while all sources fail.
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
func (w *Watcher) Revision() uint64 { return w.Position().Revision }

// Position returns the position up to which all changes are known.
func (w *Watcher) Position() Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, _ := w.table.Position()
	return p
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
		w.table.Compare, w.table.IsOrder = w.Decoder.CompareStates, w.isOrder
	}
}

// updateTable records c, calls apply on the table and publishes the changed records.
func (w *Watcher) updateTable(c confirmation, apply func(now time.Time) []Record) {
	w.updateMu.Lock()
	defer w.updateMu.Unlock()
	live, revision, changed := w.updateLockedTable(c, apply)
	if len(changed) > 0 || w.latestList.Load() == nil {
		w.publishChanges(revision, live, changed)
	}
}

// updateLockedTable records c and calls apply on the locked table. It returns the changed
// records and, if the list has to be published, all records. A confirmation of an epoch
// before that of the table says nothing about the store as it is now.
func (w *Watcher) updateLockedTable(c confirmation, apply func(now time.Time) []Record) (live []Record, revision uint64, changed []Record) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.table.ConfirmedAt().IsZero()
	before, _ := w.table.Position()
	if c.epoch < before.Epoch {
		c.by = ""
	}
	if c.by != "" {
		if c.at.After(w.table.ConfirmedAt()) {
			w.confirmedBy = c.by
		}
		w.table.RecordConfirmation(now, c.at)
	}
	changed = apply(now)
	if len(changed) > 0 || w.latestList.Load() == nil {
		live = w.table.LiveRecords()
	}
	after, _ := w.table.Position()
	if now.Sub(w.table.ConfirmedAt()) < staleAge {
		w.postponeStoreCall(now, len(w.Fleet.UsableMembers("", w.Region)))
	}
	if len(changed) > 0 || c.by != "" && first {
		w.notifyFollowers()
	}
	return live, after.Revision, changed
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
		w.updateTable(confirmation{}, w.table.ApplyHeldDeletions)
	}
}
