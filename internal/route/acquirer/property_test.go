package acquirer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/acquirer"
)

// randomCalls runs calls on the instances of a fleet and counts the slots in use of
// each server.
type randomCalls struct {
	fleet *fleet
	limit int // Most calls at one server; 0 means unlimited.

	mu         sync.Mutex
	inUse      map[string]int
	aboveLimit int // Slots granted above the limit.
	calls      sync.WaitGroup
}

// runCall acquires a slot and holds it until done is closed. Cancelling ctx ends the
// wait for the slot.
func (r *randomCalls) runCall(ctx context.Context, in *instance, rank parser.Rank, done <-chan struct{}) {
	defer r.calls.Done()
	s, err := in.Acquire(ctx, acquirer.Request{Service: "guidance", Rank: rank, Deadline: time.Now().Add(5 * time.Second)})
	if err != nil {
		return
	}
	r.addInUse(s, 1)
	<-done
	r.addInUse(s, -1)
	s.Release(acquirer.Result{ReportedCalls: -1, Latency: time.Millisecond})
}

func (r *randomCalls) addInUse(s *acquirer.Slot, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inUse[s.Server.String()] += n; r.limit > 0 && r.inUse[s.Server.String()] > r.limit {
		r.aboveLimit++
	}
}

// runRandomSteps runs a random sequence of steps: calls that start, are cancelled or
// end and, if breakStreams is set, streams that break.
func runRandomSteps(t *rapid.T, breakStreams bool) *randomCalls {
	r := &randomCalls{fleet: newFleet([]string{"a", "b"}, 2, 2, 2), inUse: make(map[string]int)}
	if !breakStreams {
		r.limit = 2
	}
	var cancels []context.CancelFunc
	var ends []chan struct{}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		in := r.fleet.instances[rapid.IntRange(0, 3).Draw(t, "instance")]
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
			if breakStreams {
				r.fleet.breakStreams(in.Name, rapid.Bool().Draw(t, "down"))
			}
		default:
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			cancels, ends = append(cancels, cancel), append(ends, done)
			r.calls.Add(1)
			go r.runCall(ctx, in, parser.Rank(rapid.IntRange(0, 2).Draw(t, "rank")), done)
		}
	}
	for _, done := range ends {
		close(done)
	}
	r.calls.Wait()
	for _, cancel := range cancels {
		cancel()
	}
	return r
}

// TestAllSlotsReleased guards against slots that a home counts forever after asks,
// cancellations, ends of calls and stream failures have crossed on the way.
func TestAllSlotsReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := runRandomSteps(t, true)
		waitForSlotsInUse(t, r.fleet.instances, 0)
	})
}

// TestSlotLimit guards against more calls at a server than its limit while no stream
// breaks.
func TestSlotLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := runRandomSteps(t, false)
		waitForSlotsInUse(t, r.fleet.instances, 0)
		if r.aboveLimit > 0 {
			t.Fatalf("got %d slots above the limit, want 0", r.aboveLimit)
		}
	})
}
