package allocator_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// TestHedgeNeedsFreeSlot guards against a hedge that waits for a slot, that takes one of
// the last free slots of a pool, or that gets a slot while another request waits.
func TestHedgeNeedsFreeSlot(t *testing.T) {
	p, rec, now := newPool(10, 2), &replyRecorder{make(map[uint64]allocator.Reply)}, startTime
	request := func(number uint64, hedge bool) allocator.ReplyKind {
		req := newRequest(rec, number, parser.Normal, now.Add(time.Second))
		req.Hedge = hedge
		p.RequestSlot(now, req)
		return rec.replies[number].Kind
	}
	if got := request(1, true); got != allocator.ReplyOffered {
		t.Errorf("20 free slots: got reply %d, want an offer", got)
	}
	for number := range uint64(17) {
		request(10+number, false)
	}
	if got := request(2, true); got != allocator.ReplyRefused {
		t.Errorf("2 free slots: got reply %d, want a refusal", got)
	}
	request(30, false)
	request(31, false)
	if got := request(32, false); got != allocator.ReplyQueued {
		t.Fatalf("no free slot: got reply %d, want queued", got)
	}
	if got := request(3, true); got != allocator.ReplyRefused || p.QueuedCount() != 1 {
		t.Errorf("another request waits: got reply %d, %d queued; want a refusal and 1", got, p.QueuedCount())
	}
	p.CancelRequest(now, allocator.ID{Owner: rec, Number: 1})
	if got := rec.replies[32].Kind; got != allocator.ReplyOffered {
		t.Errorf("after the hedge was cancelled: got reply %d to the waiting request, want an offer", got)
	}
}
