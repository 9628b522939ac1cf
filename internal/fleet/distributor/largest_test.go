package distributor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/keeper"
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/distributor"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/standin/fleetrunner"
)

// storedInstance is an instance with the BundleStore of the product.
type storedInstance struct {
	*fleetrunner.Instance
	store keeper.BundleStore
}

func startStoredInstance(t *testing.T, name string) *storedInstance {
	t.Helper()
	co := &connector.Connector{Plain: true}
	x := &storedInstance{Instance: &fleetrunner.Instance{Registrar: &registrar.Registrar{Name: name}, Connector: co, HeartbeatPeriod: 40 * time.Millisecond}}
	d := &distributor.Distributor{
		BundleSink: &x.store, CurrentBundle: x.store.CurrentSections, Fleet: x, StreamOpener: co, Audit: &auditor.Trail{}, BundleChanged: x.store.SubscribeChanges(),
		InitialBackoff: 10 * time.Millisecond,
		Sections:       distributor.SectionFuncs{ComputeSums: bundler.SectionSums, FindMissing: bundler.MissingSums, AssembleBundle: bundler.AssembleBundle},
	}
	x.MessageHandlers = []registrar.MessageHandler{d}
	x.ExtraTasks = []func(context.Context) error{d.Run}
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Stop)
	return x
}

// TestLargestBundle guards against a bundle of the largest size that no other instance gets,
// because it has so many services that asking for them takes a longer message than is accepted.
func TestLargestBundle(t *testing.T) {
	all := []*storedInstance{startStoredInstance(t, "a"), startStoredInstance(t, "b"), startStoredInstance(t, "c")}
	var members []*fleetrunner.Instance
	for _, x := range all {
		members = append(members, x.Instance)
	}
	fleetrunner.DistributeList(members, members, nil)
	text := []byte("version = 1\n")
	for n := 0; ; n++ {
		section := fmt.Sprintf("[[services]]\nname = 's%d'\nslots = 1\n", n)
		if len(text)+len(section) > bundler.MaxBundleBytes {
			break
		}
		text = append(text, section...)
	}
	if _, err := all[0].store.OfferBundle(text, "platform"); err != nil {
		t.Fatal(err)
	}
	want, _ := all[0].store.CurrentSections()
	for _, x := range all[1:] {
		waitUntil(t, fmt.Sprintf("bundle of %d bytes at %s", len(text), x.Name), func() bool {
			got, _ := x.store.CurrentSections()
			return got == want
		})
		if got := x.Connector.Stats().BytesByKind[connector.ControlStream].In; got > uint64(len(text)/2) {
			t.Errorf("got %d bytes of control streams at %s for a bundle of %d bytes, want it deflated", got, x.Name, len(text))
		}
	}
}
