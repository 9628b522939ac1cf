package asker_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/asker"
)

// load runs calls at the instances of a fleet and counts the slots of each server.
type load struct {
	fleet *fleet
	limit int // Most calls at one server; 0 means unlimited.

	mu    sync.Mutex
	used  map[string]int
	over  int // Slots granted above the limit.
	calls sync.WaitGroup
}

// run acquires a slot and keeps it until done is closed; cancel ends the wait for it.
func (l *load) run(ctx context.Context, in *instance, r parser.Rank, done <-chan struct{}) {
	defer l.calls.Done()
	s, err := in.Acquire(ctx, asker.Need{Service: "guidance", Rank: r, Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		return
	}
	l.count(s, 1)
	<-done
	l.count(s, -1)
	s.Release(asker.Result{Busy: -1, Latency: time.Millisecond})
}

func (l *load) count(s *asker.Slot, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.used[s.Server.String()] += n; l.limit > 0 && l.used[s.Server.String()] > l.limit {
		l.over++
	}
}

// play draws an interleaving of calls, cancels, ends and, with cuts, broken streams.
func play(t *rapid.T, cuts bool) *load {
	l := &load{fleet: newFleet([]string{"a", "b"}, 2, 2, 2), used: make(map[string]int)}
	if !cuts {
		l.limit = 2
	}
	var cancels []context.CancelFunc
	var ends []chan struct{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		in := l.fleet.instances[rapid.IntRange(0, 3).Draw(t, "instance")]
		switch rapid.IntRange(0, 5).Draw(t, "step") {
		case 0:
			if n := len(ends); n > 0 {
				close(ends[n-1])
				ends = ends[:n-1]
			}
		case 1:
			if len(cancels) > 0 {
				cancels[rapid.IntRange(0, len(cancels)-1).Draw(t, "cancel")]()
			}
		case 2:
			if cuts {
				l.fleet.cut(in.Name, rapid.Bool().Draw(t, "down"))
			}
		default:
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			cancels, ends = append(cancels, cancel), append(ends, done)
			l.calls.Add(1)
			go l.run(ctx, in, parser.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), done)
		}
	}
	for _, done := range ends {
		close(done)
	}
	l.calls.Wait()
	for _, cancel := range cancels {
		cancel()
	}
	return l
}

// TestSlotsReturn guards against slots that a home counts for ever after asks,
// cancels, ends of calls and broken streams have crossed each other.
func TestSlotsReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := play(t, true)
		settle(t, l.fleet.instances, 0)
	})
}

// TestSlotsExact guards against more calls at a server than its limit while all
// streams are whole.
func TestSlotsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := play(t, false)
		settle(t, l.fleet.instances, 0)
		if l.over > 0 {
			t.Fatalf("got %d slots above the limit, want 0", l.over)
		}
	})
}
