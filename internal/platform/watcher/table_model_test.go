package watcher_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// history is the changes of a store; the one at index i has revision i + 1.
type history []watcher.Record

// at returns the records that exist at a revision, by key.
func (h history) at(revision uint64) map[string]watcher.Record {
	out := make(map[string]watcher.Record)
	for _, r := range h[:revision] {
		if out[r.Key] = r; r.Deleted {
			delete(out, r.Key)
		}
	}
	return out
}

// page returns the records at a revision whose keys are among keys.
func (h history) page(revision uint64, keys []string) (out []watcher.Record) {
	live := h.at(revision)
	for _, key := range keys {
		if r, ok := live[key]; ok {
			out = append(out, r)
		}
	}
	return out
}

// changes returns the last change of each key after a revision.
func (h history) changes(after uint64) watcher.Batch {
	newest := make(map[string]watcher.Record)
	for _, r := range h[after:] {
		newest[r.Key] = r
	}
	b := watcher.Batch{After: after, Revision: uint64(len(h))}
	for _, r := range newest {
		b.Records = append(b.Records, r)
	}
	slices.SortFunc(b.Records, func(a, b watcher.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return b
}

// modelFeed is the feed of a modelTable from another one.
type modelFeed struct {
	source   int
	after    watcher.Position // Position of the subscription.
	told     uint64           // Revision of the last message.
	sequence uint64
	messages []modelMessage // Sent and not yet delivered.
}

type modelMessage struct {
	watcher.Batch
	full bool
}

// modelTable is the table of one instance and what is under way to it.
type modelTable struct {
	*watcher.Table
	feeds   [2]*modelFeed
	answers []modelMessage // Answers of the store.
}

// tableModel is a store and the tables of a fleet.
type tableModel struct {
	t      *rapid.T
	store  history
	tables []*modelTable
	now    time.Time
}

var tableKeys = []string{"a", "b", "c", "d", "e"}

func (m *tableModel) draw(from, to int, what string) int {
	return rapid.IntRange(from, to).Draw(m.t, what)
}

// write changes one record of the store.
func (m *tableModel) write(key string, deleted bool) {
	if _, ok := m.store.at(uint64(len(m.store)))[key]; ok || !deleted {
		m.store = append(m.store, watcher.Record{Key: key, Value: []byte(key), Revision: uint64(len(m.store)) + 1, Deleted: deleted})
	}
}

// readAll returns all records in pages. Those of a stale read are of any age; those of
// another one are read while the store may go on to change.
func (m *tableModel) readAll(stale bool) watcher.Batch {
	b := watcher.Batch{Revision: uint64(len(m.store)), Stale: stale}
	for _, keys := range [][]string{tableKeys[:2], tableKeys[2:4], tableKeys[4:]} {
		revision := uint64(len(m.store))
		if stale {
			revision = uint64(m.draw(max(1, len(m.store)-8), len(m.store), "revision of the page"))
		} else if m.draw(0, 3, "change between pages") == 0 {
			m.write(rapid.SampledFrom(tableKeys).Draw(m.t, "key"), m.draw(0, 1, "deleted") == 1)
			revision = uint64(len(m.store))
		}
		b.Records = append(b.Records, m.store.page(revision, keys)...)
		b.Revision = min(b.Revision, revision)
	}
	return b
}

// start starts the instance with index i; what others have from it stays.
func (m *tableModel) start(i int) {
	m.tables[i] = &modelTable{Table: new(watcher.Table)}
	for _, x := range m.tables {
		for k, f := range x.feeds {
			if f != nil && f.source == i { // The stream ends with its source.
				x.feeds[k] = nil
			}
		}
	}
}

// isServing reports whether x passes its records on.
func (x *modelTable) isServing() bool {
	_, loaded := x.Position()
	return loaded && !x.ConfirmedAt().IsZero()
}

// send sends the next message of f.
func (m *tableModel) send(f *modelFeed) {
	source := m.tables[f.source]
	if !source.isServing() {
		return
	}
	records, sequence, full := source.ChangesSince(f.after, f.sequence)
	f.sequence = sequence
	p := source.AppliedPosition()
	f.messages = append(f.messages, modelMessage{watcher.Batch{Records: records, After: f.told, Revision: p.Revision, Epoch: p.Epoch}, full})
	f.told = p.Revision
}

// apply applies one message of the store or of another table.
func (m *tableModel) apply(x *modelTable, message modelMessage) {
	if !message.Stale {
		x.RecordConfirmation(m.now, m.now)
	}
	if message.full {
		x.LoadAll(m.now, message.Batch)
	} else {
		x.ApplyChanges(m.now, message.Batch)
	}
}

// deliver delivers the next message of the feed with index k.
func (m *tableModel) deliver(x *modelTable, k int) {
	f := x.feeds[k]
	if f == nil || len(f.messages) == 0 {
		return
	}
	message := f.messages[0]
	f.messages = f.messages[1:]
	if _, loaded := x.Position(); !loaded && !message.full {
		return
	}
	m.apply(x, message)
	p, _ := x.Position()
	switch {
	case x.IsAhead(watcher.Position{Epoch: message.Epoch, Revision: message.Revision}):
		x.feeds[k] = &modelFeed{source: f.source}
	case p.Revision < message.Revision:
		x.feeds[k] = &modelFeed{source: f.source, after: p, told: p.Revision}
	}
}

// step does one thing at the instance with index i.
func (m *tableModel) step(i int, name string) {
	x, k := m.tables[i], m.draw(0, 1, "feed")
	p, loaded := x.Position()
	switch name {
	case "restart":
		m.start(i)
	case "follow":
		if source := m.draw(0, len(m.tables)-1, "source"); source != i {
			x.feeds[k] = &modelFeed{source: source, after: p, told: p.Revision}
		}
	case "send":
		if x.feeds[k] != nil {
			m.send(x.feeds[k])
		}
	case "deliver":
		m.deliver(x, k)
	case "ask":
		if !loaded {
			x.answers = append(x.answers, modelMessage{m.readAll(true), true})
		} else {
			x.answers = append(x.answers, modelMessage{m.store.changes(p.Revision), false})
		}
	case "askAll":
		if loaded {
			x.answers = append(x.answers, modelMessage{m.readAll(false), true})
		}
	case "answer":
		if len(x.answers) > 0 {
			m.apply(x, x.answers[0])
			x.answers = x.answers[1:]
		}
	case "release":
		x.ApplyHeldDeletions(m.now)
	}
}

// check checks that x has exactly the records of the store at its position, except those
// that it knows to have changed since, and those whose deletion it holds.
func (m *tableModel) check(i int) {
	x := m.tables[i]
	if _, loaded := x.Position(); !loaded {
		return
	}
	p := x.AppliedPosition()
	want := m.store.at(p.Revision)
	got := make(map[string]uint64)
	for _, r := range x.LiveRecords() {
		got[r.Key] = r.Revision
		if r.Revision <= p.Revision && want[r.Key].Revision != r.Revision {
			m.t.Fatalf("got %s of revision %d at %d with position %d, want the one of revision %d (0: none)", r.Key, r.Revision, i, p.Revision, want[r.Key].Revision)
		}
	}
	for key, r := range want {
		changed := slices.ContainsFunc(m.store[p.Revision:], func(r watcher.Record) bool { return r.Key == key })
		if got[key] < r.Revision && !changed {
			m.t.Fatalf("got %s of revision %d (0: none) at %d with position %d, want that of revision %d", key, got[key], i, p.Revision, r.Revision)
		}
	}
}

// settle lets each instance ask the store until nothing changes and checks the lists.
func (m *tableModel) settle() {
	want := fmt.Sprint(m.store.page(uint64(len(m.store)), tableKeys))
	for i, x := range m.tables {
		for range 3 {
			for len(x.answers) > 0 {
				m.step(i, "answer")
			}
			m.step(i, "ask")
			m.step(i, "answer")
			m.now = m.now.Add(time.Second)
			x.RecordConfirmation(m.now, m.now)
		}
		m.now = m.now.Add(3 * time.Second)
		x.ApplyHeldDeletions(m.now)
		if got := fmt.Sprint(x.LiveRecords()); got != want {
			m.t.Fatalf("got records %v at %d after all changes, want %v", got, i, want)
		}
	}
}

// TestPositionMeansRecords guards against a list that differs from that of the store at the
// revision that it claims: whatever the order in which instances read the store, stale or
// late, follow each other in chains, hold deletions and are started again, the records of
// each are those of the store at its position.
func TestPositionMeansRecords(t *testing.T) {
	for _, n := range []int{3, 8, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := &tableModel{t: t, now: startTime, tables: make([]*modelTable, n)}
				m.write("a", false)
				for i := range m.tables {
					m.tables[i] = &modelTable{Table: new(watcher.Table)}
				}
				m.run()
			})
		})
	}
}

func (m *tableModel) run() {
	names := []string{"write", "write", "delete", "wait", "restart", "follow", "follow", "send", "send", "send", "deliver", "deliver", "deliver", "ask", "ask", "askAll", "answer", "answer", "release"}
	active := min(len(m.tables), 4) // Chains form only if few instances take part at a time.
	for range m.draw(1, 120, "steps") {
		m.now = m.now.Add(50 * time.Millisecond)
		i := m.draw(0, active-1, "instance")
		switch name := rapid.SampledFrom(names).Draw(m.t, "step"); name {
		case "write", "delete":
			m.write(rapid.SampledFrom(tableKeys).Draw(m.t, "key"), name == "delete")
		case "wait":
			m.now = m.now.Add(3 * time.Second)
			active = m.draw(min(len(m.tables), 3), len(m.tables), "active")
		default:
			m.step(i, name)
			m.check(i)
		}
	}
	m.settle()
}
