package deployer

import (
	"fmt"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

// NewSizedDeployment returns a deployment with the given numbers of services and
// of backend servers in total, to measure how the use of processor, memory and
// network grows with them.
func NewSizedDeployment(services, servers int) *Deployment {
	d := &Deployment{Name: fmt.Sprintf("%d services, %d backend servers", services, servers), ServiceTimeScale: 1}
	for i := range services {
		// Spreads the remainder of servers/services, so that the counts add up to servers.
		count := servers*(i+1)/services - servers*i/services
		d.Groups = append(d.Groups, newGroup(fmt.Sprintf("s%03d", i), count, 2, time.Millisecond))
	}
	return d
}

// ServiceConfigs returns the configuration of the services of groups.
func ServiceConfigs(groups []provisioner.ServerGroup) []parser.Service {
	all := make([]parser.Service, len(groups))
	for i := range groups {
		all[i] = groups[i].Service
	}
	return all
}
