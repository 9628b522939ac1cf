package acquirer_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/route/acquirer"
	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
)

// TestColdSlotExpires guards against slots of cold servers that can be used long after
// they were granted, and against slots that expire because the request waited at the home.
func TestColdSlotExpires(t *testing.T) {
	t.Parallel()
	f := newFleet([]string{"a"}, 2, 1, 2)
	start := time.Now()
	s := f.routingTable.Load().Services["guidance"]
	s.Cold.Rate = 2.5
	s.Servers[0].Cold = router.ColdStart{Since: start, Until: start.Add(time.Minute)}
	for _, in := range f.instances {
		in.Allocator.ColdLimits = allocator.ColdLimits{Bound: parser.ColdBound{Overage: parser.Some(1.5), Slack: parser.Some(8)}}
	}
	for _, in := range f.instances { // One of them is the home.
		slot, err := in.Acquire(t.Context(), acquirer.Request{Service: "guidance", Deadline: start.Add(time.Minute)})
		if err != nil {
			t.Fatal(err)
		}
		if slot.SendBy.Before(start.Add(time.Second)) || slot.SendBy.After(time.Now().Add(allocator.MaxColdDelay)) {
			t.Errorf("%s: got a slot to be used until %v after the start, want its wait of over a second and at most %v more", in.Name, slot.SendBy.Sub(start), allocator.MaxColdDelay)
		}
		if slot.IsLate(slot.SendBy) || !slot.IsLate(slot.SendBy.Add(1)) {
			t.Errorf("%s: got a slot that is not late after %v alone", in.Name, slot.SendBy)
		}
	}
}
