package keeper_test

import (
	"fmt"
	"testing"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/keeper"
	"sardinelever.example/sardinelever/internal/config/parser"
)

// BenchmarkOffer measures the acceptance of a bundle of the size for which the load
// balancer is designed: 180 services with 20 routes each.
func BenchmarkOffer(b *testing.B) {
	services := make([]parser.Service, 180)
	for i := range services {
		services[i] = parser.Service{Name: fmt.Sprintf("service-%d", i), Slots: 2}
		for j := range 20 {
			services[i].Routes = append(services[i].Routes, parser.Route{Path: fmt.Sprintf("/path-%d/", j), Rank: parser.Normal})
		}
	}
	text, err := bundler.BuildBundle(services, 2, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := new(keeper.BundleStore).OfferBundle(text, "benchmark"); err != nil {
			b.Fatal(err)
		}
	}
}
