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
	Open(ctx context.Context, peer netip.AddrPort, k linker.StreamKind) (net.Conn, error)
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

	mu      sync.Mutex
	table   Table
	changed chan struct{}        // Closed and replaced at each change.
	avoid   map[string]avoidance // By name of the instance.
	using   [lanesCount]string   // Name of the source of each lane.

	// taking serializes take, so that the lists and bundles of both lanes are
	// published in the order of their changes and none is passed over.
	taking sync.Mutex

	list    atomic.Pointer[reader.List]
	calls   atomic.Int64
	failing atomic.Bool
	decoded map[string]decoded // Entries by key.
	bad     map[string]bool    // Keys of records that could not be decoded.
	next    time.Time          // No call to the store before this time.
	delay   time.Duration
}

// avoidance says how long a source that failed is not followed.
type avoidance struct {
	until time.Time
	delay time.Duration
}

// decoded is the backend server of a record of some revision.
type decoded struct {
	revision uint64
	entry    reader.Entry
	ok       bool
}

const (
	// lanesCount is the number of sources of an instance.
	lanesCount = 2
	// watchWait bounds a watch, and watchGrace its answer: a path that went
	// silent is noticed within their sum, which leaves time for another source
	// within the 2 s in which a configuration must be in force.
	watchWait  = time.Second
	watchGrace = 300 * time.Millisecond
	// rangeTimeout bounds a read of all records.
	rangeTimeout = time.Second
	// settle is the time between a change and the next watch, so that changes
	// in quick succession share a call.
	settle = 250 * time.Millisecond
	// patience is the time without a word of the followed instance after which
	// another source is used.
	patience = 1200 * time.Millisecond
	// beat is the time between two messages of a feed without changes.
	beat = 400 * time.Millisecond
	// stale is the age from which records do not count as those of the store.
	stale = watchWait + watchGrace + 200*time.Millisecond
	// openTimeout bounds the opening of a feed.
	openTimeout = 300 * time.Millisecond
	// leastAvoid is the time for which a source that failed is not followed. It
	// doubles up to mostAvoid with each further failure of a source that did not
	// last for steady in between: the store may turn an instance away for long.
	leastAvoid = 3 * time.Second
	mostAvoid  = 24 * time.Second
	steady     = 5 * time.Second
	// leastDelay and mostDelay bound the delay after failed calls to the store.
	leastDelay = 100 * time.Millisecond
	mostDelay  = 2 * time.Second
	// idleStep is the time between two looks for a source when there is none.
	idleStep = 50 * time.Millisecond
)

var (
	errSilent = errors.New("feed is silent")
	errStale  = errors.New("feed has no contact to the store")
)

// List returns the latest list, nil before the first load.
func (w *Watcher) List() *reader.List { return w.list.Load() }

// Confirmed returns the time at which the list was that of the store.
func (w *Watcher) Confirmed() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.Confirmed()
}

// Calls returns the number of calls to the store so far.
func (w *Watcher) Calls() int64 { return w.calls.Load() }

// At returns the revision up to which the records are known.
func (w *Watcher) At() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, _ := w.table.At()
	return at
}

// Run follows the records until ctx is done and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	w.setup()
	var lanes sync.WaitGroup
	for i := range lanesCount {
		lanes.Add(1)
		go (&lane{Watcher: w, place: i}).run(ctx, &lanes)
	}
	lanes.Wait()
	return nil
}

func (w *Watcher) setup() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changed == nil {
		if w.Log == nil {
			w.Log = &log.DefaultLogger
		}
		w.changed, w.avoid = make(chan struct{}), make(map[string]avoidance)
		w.decoded, w.bad = make(map[string]decoded), make(map[string]bool)
	}
}

// load reads all records.
func (w *Watcher) load(ctx context.Context, stale bool) {
	limited, cancel := context.WithTimeout(ctx, rangeTimeout)
	defer cancel()
	start := time.Now()
	w.calls.Add(1)
	b, err := w.Store.Range(limited, stale)
	if w.failed(ctx, err, "range") {
		return
	}
	w.take(start, !stale, func(now time.Time) []Record { return w.table.Load(now, b) })
}

// watch waits once for changes.
func (w *Watcher) watch(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	at := w.At()
	w.calls.Add(1)
	b, err := w.Store.Watch(limited, at, watchWait)
	if errors.Is(err, ErrCompacted) {
		w.Log.Warn().Uint64("after", at).Msg("platform: changes are no longer known, all records are read again")
		w.load(ctx, false)
		return
	}
	if w.failed(ctx, err, "watch") {
		return
	}
	w.take(time.Now(), true, func(now time.Time) []Record { return w.table.Apply(now, b) })
	if len(b.Records) > 0 {
		sleeper.Sleep(ctx, settle)
	}
}

// failed notes the result of a call to the store.
func (w *Watcher) failed(ctx context.Context, err error, call string) bool {
	if err == nil {
		if w.failing.Swap(false) {
			w.Log.Info().Uint64("revision", w.At()).Msg("platform: store answers again")
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.delay, w.next = 0, time.Time{}
		return false
	}
	if ctx.Err() != nil {
		return true
	}
	if !w.failing.Swap(true) {
		w.Log.Warn().Str("call", call).Err(err).Uint64("revision", w.At()).Dur("age", time.Since(w.Confirmed())).
			Msg("platform: store does not answer this instance; other instances are asked")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = min(mostDelay, max(leastDelay, 2*w.delay))
	w.next = time.Now().Add(w.delay/2 + rand.N(w.delay/2+1))
	w.wake() // Followers look for another source at once.
	return true
}

// take applies a change of the table and publishes what follows from it.
func (w *Watcher) take(as time.Time, confirms bool, apply func(now time.Time) []Record) {
	w.taking.Lock()
	defer w.taking.Unlock()
	now := time.Now()
	w.mu.Lock()
	first := w.table.Confirmed().IsZero()
	if confirms {
		w.table.Confirm(now, as)
	}
	changed := apply(now)
	live := w.table.Live()
	at, _ := w.table.At()
	if len(changed) > 0 || confirms && first {
		w.wake()
	}
	w.mu.Unlock()
	if len(changed) > 0 || w.list.Load() == nil {
		w.publish(at, live, changed)
	}
}

// wake tells the followers that there is news; w.mu is held.
func (w *Watcher) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) expire() {
	w.mu.Lock()
	held := w.table.Held()
	w.mu.Unlock()
	if held > 0 {
		w.take(time.Time{}, false, w.table.Expire)
	}
}

// publish offers changed bundles and builds the list of backend servers; w.taking is held.
func (w *Watcher) publish(at uint64, live, changed []Record) {
	list := &reader.List{Time: time.Now(), Entries: w.entries(live)}
	for _, r := range changed {
		if r.Deleted {
			delete(w.decoded, r.Key)
			w.note(r.Key, "deleted", at)
			continue
		}
		w.offer(r)
	}
	w.list.Store(list)
	if w.Update != nil {
		w.Update(list)
	}
}

// entries returns the backend servers in records. An address serves one process
// at a time, so of several entries with one address the youngest counts.
func (w *Watcher) entries(records []Record) []reader.Entry {
	var out []reader.Entry
	at := make(map[netip.AddrPort]int)
	for _, r := range records {
		e, ok := w.entry(r)
		if !ok {
			continue
		}
		i, taken := at[e.Address]
		switch {
		case !taken:
			at[e.Address] = len(out)
			out = append(out, e)
		case e.Born > out[i].Born:
			out[i] = e
		}
	}
	return out
}

func (w *Watcher) entry(r Record) (reader.Entry, bool) {
	if d, ok := w.decoded[r.Key]; ok && d.revision == r.Revision {
		return d.entry, d.ok
	}
	e, ok, err := w.Decoder.Entry(r)
	w.malformed(r, err)
	w.decoded[r.Key] = decoded{r.Revision, e, ok}
	if ok {
		state := "ready"
		if e.Leaving {
			state = "leaving"
		}
		w.note(r.Key, state+" at "+e.Address.String()+" for "+e.Service, r.Revision)
	}
	return e, ok
}

func (w *Watcher) offer(r Record) {
	text, err := w.Decoder.Bundle(r)
	w.malformed(r, err)
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

// malformed logs a record that cannot be decoded, once for each key.
func (w *Watcher) malformed(r Record, err error) {
	if err == nil {
		return
	}
	if len(w.bad) < maxTombstones && !w.bad[r.Key] {
		w.bad[r.Key] = true
		w.Log.Warn().Str("key", r.Key).Uint64("revision", r.Revision).Err(err).Msg("platform: record is ignored")
	}
}

func (w *Watcher) note(key, after string, revision uint64) {
	w.Audit.Note(auditor.Change{
		Part: "platform", Subject: key, Cause: "record of revision " + strconv.FormatUint(revision, 10), Before: "-", After: after,
	})
}
