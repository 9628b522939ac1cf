package runner

import (
	"fmt"
	"io"
	"net/netip"
)

// evacuatedServers returns the number of backend servers in evacuated zones.
func (c *components) evacuatedServers() int { return len(c.serversIn(c.withholder.IsEvacuated)) }

// evacuatedCalls returns the number of connections that calls of this instance use to
// backend servers in evacuated zones.
func (c *components) evacuatedCalls() int {
	return c.handler.sender.CountConnsInUse(c.serversIn(c.withholder.IsEvacuated))
}

// serversIn returns the addresses of the listed backend servers whose availability zone
// matches.
func (c *components) serversIn(matches func(zone string) bool) map[netip.AddrPort]bool {
	servers := make(map[netip.AddrPort]bool)
	for _, s := range c.routingTable.Load().Services {
		for i := range s.Servers {
			if matches(s.Servers[i].Zone) {
				servers[s.Servers[i].Address] = true
			}
		}
	}
	return servers
}

type evacuationSection struct{ *components }

// WriteStatus writes a line for each evacuated zone: the time for which this instance has
// known of it, its listed backend servers, and the calls of this instance that run there.
func (s evacuationSection) WriteStatus(w io.Writer) {
	for _, e := range s.withholder.Evacuations() {
		servers := s.serversIn(func(zone string) bool { return zone == e.Zone })
		_, _ = fmt.Fprintf(w, "evacuation\t%s\tsince=%s\tservers=%d\trunning=%d\n",
			e.Zone, formatAge(e.Since), len(servers), s.handler.sender.CountConnsInUse(servers))
	}
}
