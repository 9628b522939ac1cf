package watcher_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// TestRestoredFeedOfRelay guards against what a copy lacks and what reaches a relay but none
// of those that read the copy themselves and follow the relay.
func TestRestoredFeedOfRelay(t *testing.T) {
	known := watcher.Batch{Epoch: 1, Revision: 20, Records: []watcher.Record{newState("drained", 4, 1), newState("left", 5, 1)}}
	copied := watcher.Batch{Epoch: 2, Revision: 21, Records: known.Records}
	lost := watcher.Batch{Epoch: 1, Revision: 30, Records: []watcher.Record{newState("drained", 25, 2), newDeletion("left", 26)}}
	synced := newComparingTable(known)
	synced.ApplyChanges(startTime, lost)
	for name, relay := range map[string]*watcher.Table{"started": {Compare: fakeDecoder{}.CompareStates}, "behind": newComparingTable(known), "synced": synced} {
		source := newComparingTable(known)
		source.ApplyChanges(startTime, lost)
		source.LoadAll(startTime, copied)
		follow(relay, source)
		relay.ApplyHeldDeletions(startTime.Add(time.Minute))
		started := newComparingTable(copied)
		follow(started, relay)
		started.ApplyHeldDeletions(startTime.Add(time.Minute))
		if got, want := liveStates(started), "drained2 "; got != want {
			t.Errorf("relay that was %s: got %q at its follower, want %q", name, got, want)
		}
	}
}

// TestStartInRestoredZones guards against an instance of a large fleet that reads the copy
// itself, follows a relay and goes on to use what the copy has as older than it was.
func TestStartInRestoredZones(t *testing.T) {
	for _, n := range []int{16, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &drillTrial{zonedFleet: newZonedFleet(n), t: t}
				defer func() { d.stop(); d.running.Wait() }()
				time.Sleep(5 * time.Second)
				d.write("config", false)
				time.Sleep(2 * time.Second)
				records, revision := d.store.copyRecords()
				d.write("config", false)
				want := d.counter
				time.Sleep(2 * time.Second)
				d.store.restore(records, revision)
				time.Sleep(2 * time.Second)
				for i := range 12 {
					x := &zonedInstance{fleet: d.zonedFleet}
					member := d.members[i]
					recorder := new(bundleRecorder)
					x.Watcher = &watcher.Watcher{
						Store: x, Decoder: fakeDecoder{}, Name: fmt.Sprint("late", i), Zone: member.Zone, Region: "r", Fleet: d, StreamOpener: &lateZonedOpener{x}, BundleSink: recorder, Log: &discardLogger,
					}
					ctx, cancel := context.WithCancel(t.Context())
					d.running.Add(1)
					go (&runningWatcher{x.Watcher, &d.running}).run(ctx)
					time.Sleep(3 * time.Second)
					if got := recorder.lastText(); got != fmt.Sprintf("%06d", want) {
						t.Errorf("got configuration %v at %s, want %06d", got, x.Name, want)
					}
					cancel()
				}
			})
		})
	}
}

// lateZonedOpener opens streams once its instance has a list.
type lateZonedOpener struct{ *zonedInstance }

func (o *lateZonedOpener) OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error) {
	for o.List() == nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	return o.zonedInstance.OpenStream(ctx, peer, k)
}
