package registrar_test

import (
	"net/netip"
	"testing"

	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/standin/fleetrunner"
	"sardinelever.example/sardinelever/internal/standin/injector"
)

// TestPartition guards against a side of a network partition that forgets the
// members of the other side or keeps using them, and against sides that do not
// reconnect after the partition.
func TestPartition(t *testing.T) {
	const n = 6
	all := make([]*instance, n)
	partitions := make([]*injector.PartitionedStreamOpener, n)
	for i := range all {
		partitions[i] = new(injector.PartitionedStreamOpener)
		all[i] = startInstance(t, &instance{Registrar: &registrar.Registrar{Name: newMember(i).Name}, Partition: partitions[i], HeartbeatPeriod: heartbeatPeriod})
	}
	fleetrunner.DistributeList(all, all, nil)
	waitUntil(t, "heartbeats", func() bool { return all[0].FindMember("i3").Incarnation > 0 })
	for i, p := range partitions {
		cut := make(map[netip.AddrPort]bool)
		for j, x := range all {
			if (i < n/2) != (j < n/2) {
				cut[x.PeerAddr] = true
			}
		}
		p.BlockAddrs(cut)
	}
	for i := range n / 2 {
		waitForState(t, all[n/2:], all[i].Name, registrar.Gone)
		waitForState(t, all[:n/2], all[n/2+i].Name, registrar.Gone)
	}
	for _, x := range all {
		if got := len(x.UsableMembers("z", "home")); got != n/2 {
			t.Errorf("%s: got %d usable members, want %d", x.Name, got, n/2)
		}
		if got := len(x.AcceptedList().Names); got != n {
			t.Errorf("%s: got %d accepted names, want %d", x.Name, got, n)
		}
	}
	for _, p := range partitions {
		p.BlockAddrs(nil)
	}
	for _, x := range all {
		waitForState(t, all, x.Name, registrar.Alive)
	}
}
