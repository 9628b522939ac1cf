package allocator_test

import (
	"math"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// TestLoadReport guards against a load report that counts the demand of other pools,
// promises slots that are in use or hides the queue.
func TestLoadReport(t *testing.T) {
	p := newPool(2, 2)
	p.ReportLoad = func() bool { return true }
	rec := &replyRecorder{replies: make(map[uint64]allocator.Reply)}
	now := startTime.Add(10 * time.Second)
	p.Tick(now)
	number := uint64(0)
	request := func(extra bool) *allocator.Load {
		number++
		req := newRequest(rec, number, parser.Normal, now.Add(time.Minute))
		req.Extra = extra
		p.RequestSlot(now, req)
		now = now.Add(50 * time.Millisecond)
		return rec.replies[number].Load
	}
	if l := request(false); l == nil || l.Slots != 4 || l.Free < 3 || l.Rate < 0.9 || l.Waits[parser.Normal] != 0 {
		t.Fatalf("load with free slots: got %+v, want 4 slots, 3 or 4 of them free, rate 1 and no wait", l)
	}
	for range 3 {
		request(false)
	}
	request(false)
	queued := request(true)
	if queued == nil || queued.Free != 0 || queued.Waits[parser.Normal] < 50*time.Millisecond {
		t.Fatalf("load with a queue: got %+v, want no free slot and at least the wait of the oldest request", queued)
	}
	if queued.Rate > 5 {
		t.Errorf("arrival rate: got %.2f, want at most the 5 requests that are no extra ones", queued.Rate)
	}
}

// TestDecodeLoad guards against impossible values of another instance in the decisions.
func TestDecodeLoad(t *testing.T) {
	if l := allocator.DecodeLoad(&messenger.Load{Rate: -1}); l != nil {
		t.Errorf("negative rate: got %+v, want none", l)
	}
	l := allocator.DecodeLoad(&messenger.Load{Slots: 2, Work: math.MaxInt64, Waits: []int64{5, -5}})
	if l == nil || l.Slots != 2 || l.Waits != [parser.RankCount]time.Duration{5, 0, 0} || l.Work > time.Hour {
		t.Errorf("got %+v, want 2 slots, one wait of 5ns and work of at most an hour", l)
	}
}
