package reader_test

import (
	"fmt"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/platform/reader"
)

var startTime = time.Unix(1_700_000_000, 0)

// newEntries returns n entries of a service; the first few, as many as leaving says,
// are leaving.
func newEntries(service string, n, leaving int) []reader.Entry {
	out := make([]reader.Entry, n)
	for i := range out {
		out[i] = reader.Entry{Service: service, Name: fmt.Sprintf("%s-%d", service, i), Leaving: i < leaving}
	}
	return out
}

// TestMassRemoval guards against a list that lacks most of a service or of the
// instances by mistake, and against a real removal that is never applied.
func TestMassRemoval(t *testing.T) {
	type step struct {
		after time.Duration // Seconds since the start.
		list  []reader.Entry
		want  int // Number of accepted entries.
		held  string
	}
	four := newEntries("a", 4, 0)
	both := append(newEntries("", 4, 0), four...)
	for _, c := range []struct {
		name   string
		silent func(reader.Entry) bool
		steps  []step
	}{
		{"half is applied", nil, []step{{0, four, 4, "[]"}, {1, four[:2], 2, "[]"}}},
		{"more than half waits", nil, []step{{0, four, 4, "[]"}, {1, four[:1], 4, "[a]"}, {60, four[:1], 4, "[a]"}, {61, four[:1], 1, "[]"}}},
		{"empty waits", nil, []step{{0, both, 8, "[]"}, {1, nil, 8, "[ a]"}, {60, nil, 8, "[ a]"}, {61, nil, 0, "[]"}}},
		{"one wait for different short lists", nil, []step{{0, four, 4, "[]"}, {1, nil, 4, "[a]"}, {30, four[:1], 4, "[a]"}, {61, four[:1], 1, "[]"}}},
		{"recovery ends the wait", nil, []step{{0, four, 4, "[]"}, {1, nil, 4, "[a]"}, {30, four, 4, "[]"}, {62, nil, 4, "[a]"}}},
		{"other kinds change", nil, []step{{0, both, 8, "[]"}, {1, append(newEntries("", 4, 2), newEntries("b", 3, 0)...), 11, "[a]"}}},
		{"leaving entries may go", nil, []step{{0, newEntries("a", 4, 3), 4, "[]"}, {1, newEntries("a", 4, 0)[3:], 1, "[]"}}},
		{"silent entries go at once", func(e reader.Entry) bool { return e.Name != "a-0" }, []step{{0, four, 4, "[]"}, {1, four[:1], 1, "[]"}}},
		{"one of them heard", func(e reader.Entry) bool { return e.Name != "a-3" }, []step{{0, four, 4, "[]"}, {1, four[:1], 4, "[a]"}}},
	} {
		g := &reader.RemovalGuard{IsSilent: c.silent}
		for i, s := range c.steps {
			now := startTime.Add(s.after * time.Second)
			l, held, _ := g.ApplyList(now, &reader.List{Time: now, Entries: s.list})
			if got := fmt.Sprint(held); len(l.Entries) != s.want || got != s.held {
				t.Errorf("%s, step %d: got %d entries and held %s, want %d and %s", c.name, i, len(l.Entries), got, s.want, s.held)
			}
		}
	}
}

// TestOutdatedList guards against a list of a lagging replica that undoes changes, and
// against a platform clock that was set back and so stops all changes.
func TestOutdatedList(t *testing.T) {
	g := new(reader.RemovalGuard)
	g.ApplyList(startTime, &reader.List{Time: startTime, Entries: newEntries("a", 4, 2)})
	for _, c := range []struct {
		after time.Duration
		old   bool
		want  bool // Leaving flag of the first accepted entry.
	}{{1, true, true}, {59, true, true}, {61, false, false}} {
		l, _, old := g.ApplyList(startTime.Add(c.after*time.Second), &reader.List{Time: startTime.Add(-time.Second), Entries: newEntries("a", 4, 0)})
		if got := l.Entries[0].Leaving; got != c.want || old != c.old {
			t.Errorf("after %d s: got leaving %v and old %v, want %v and %v", c.after, got, old, c.want, c.old)
		}
	}
}
