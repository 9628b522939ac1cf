package deployer

import (
	"fmt"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/stager"
)

// Sized returns a deployment of equal services for measurements of how the use
// of processor, memory and links grows with its size.
func Sized(services, servers int) *Deployment {
	d := &Deployment{Name: fmt.Sprintf("%d services, %d backend servers", services, servers), Scale: 1}
	for i := range services {
		// The remainder is spread so that the sum is exact.
		count := servers*(i+1)/services - servers*i/services
		d.Parts = append(d.Parts, newGroup(fmt.Sprintf("s%03d", i), count, 2, time.Millisecond))
	}
	return d
}

// Services returns the configuration of all services.
func Services(groups []stager.Group) []parser.Service {
	all := make([]parser.Service, len(groups))
	for i := range groups {
		all[i] = groups[i].Service
	}
	return all
}
