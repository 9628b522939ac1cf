package registrar

import (
	"net/netip"
	"time"
)

const (
	// firstExchangeDelay is the mean delay between exchanges of rosters as long as
	// they find differences. It doubles up to maxExchangeDelay when they find none.
	firstExchangeDelay = 100 * time.Millisecond
	maxExchangeDelay   = 5 * time.Second
)

// RosterDelay is the mean delay before the next exchange of rosters. The zero value is
// that of an instance that starts.
type RosterDelay struct{ delay time.Duration }

// Next returns the delay after an exchange. It falls while exchanges find differences,
// so that news of many members spreads within a second.
func (d *RosterDelay) Next(differed bool) time.Duration {
	switch {
	case d.delay == 0:
		d.delay = firstExchangeDelay
	case differed:
		d.delay = max(d.delay/2, firstExchangeDelay)
	default:
		d.delay = min(2*d.delay, maxExchangeDelay)
	}
	return d.delay
}

// Starting reports whether an exchange has recently found differences.
func (d *RosterDelay) Starting() bool { return d.delay < maxExchangeDelay }

// RosterPeers holds the addresses with which an instance may exchange rosters. It
// decides which instances learn from which while a fleet starts, when every instance
// knows only the seeds, and later, when an exchange mostly finds no difference.
type RosterPeers struct {
	Seeds      []netip.AddrPort
	Neighbours []netip.AddrPort // Alive members with which heartbeats are exchanged.
	Zone       []netip.AddrPort // Alive members of the own availability zone.
	Alive      []netip.AddrPort // All alive members.
}

const (
	// startSeedProbability is the probability that an exchange goes to a seed instead
	// of a member. These exchanges join parts of a fleet that do not know each other.
	// Later the probability falls with the size of the fleet, so that its instances
	// together start about fleetSeedExchanges with seeds in maxExchangeDelay.
	startSeedProbability = 0.3
	fleetSeedExchanges   = 8.0
)

// Choose returns all seeds while no other member is known, and else one address.
// While starting, the members of the own zone are preferred, because traffic within a
// zone is cheap; later the neighbours are, because sessions with them exist. The
// number random is in [0, 1), and intn returns a random number below its argument.
func (c *RosterPeers) Choose(starting bool, random float64, intn func(int) int) []netip.AddrPort {
	near, seedProbability := c.Neighbours, min(startSeedProbability, fleetSeedExchanges/float64(len(c.Alive)+1))
	if starting {
		near, seedProbability = c.Zone, startSeedProbability
	}
	switch {
	case len(c.Alive) == 0:
		return c.Seeds
	case len(c.Seeds) > 0 && random < seedProbability:
		near = c.Seeds
	case len(near) == 0:
		near = c.Alive
	}
	return near[intn(len(near)):][:1]
}
