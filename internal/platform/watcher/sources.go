package watcher

import (
	"math"
	"slices"

	"sardinelever.example/sardinelever/internal/fleet/hasher"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
)

const (
	// sourceCount is the number of sources that an instance uses at the same time.
	sourceCount = 2
	// maxFlatFleet is the largest number of instances of a region that all follow the
	// same two readers. In a larger fleet two relays in each zone follow the readers,
	// and the others follow the relays of their zone.
	maxFlatFleet = 32
	// maxCandidates is the number of instances from which a source is chosen: the
	// first ones in the order of the region or of the zone. It bounds the instances
	// that read the store when the first ones cannot.
	maxCandidates = 6
	// maxRelays is the number of instances of a zone that may become its relays.
	maxRelays = 2 * maxCandidates
)

// Sources selects from which instances the records are read. It answers the load of a
// large fleet, in which each change has to reach all instances: a change crosses from
// one zone to another once for each relay, and no instance serves more than those of
// its zone. The fields must not be changed after the first call.
type Sources struct {
	Self    registrar.Member
	Members []registrar.Member // Usable members of the region, including Self.

	region, zone []string // All members of the region, and of the own zone, in order.
}

// Candidates returns the names of the instances to read from, the preferred one
// first. The name of this instance stands for the store. Other instances for which avoid
// returns true are left out; the rest take their parts. Instances with more
// processor time come first, as they serve many others.
func (s *Sources) Candidates(avoid func(name string) bool) []string {
	region := s.regionCandidates(avoid)
	if len(s.Members) <= maxFlatFleet || slices.Contains(region, s.Self.Name) {
		return region
	}
	zone := firstUnavoided(s.zone[:min(len(s.zone), maxRelays)], avoid)
	if len(zone) == 0 {
		return region
	}
	if slices.Contains(zone[:min(len(zone), sourceCount)], s.Self.Name) {
		return region
	}
	zone = slices.DeleteFunc(zone, func(n string) bool { return n == s.Self.Name })
	// Half of the followers use the second relay first, which halves what each sends.
	if len(zone) > 1 && hasher.TopName(s.Self.Name, zone[:2]) == zone[1] {
		zone[0], zone[1] = zone[1], zone[0]
	}
	return zone
}

// regionCandidates returns the first instances of the region, which read the store or
// take over from those that do.
func (s *Sources) regionCandidates(avoid func(name string) bool) []string {
	if s.region == nil {
		s.region = s.rank("records", func(*registrar.Member) bool { return true })
		s.zone = s.rank("records/"+s.Self.Zone, func(m *registrar.Member) bool { return m.Zone == s.Self.Zone })
	}
	return firstUnavoided(s.region, avoid)
}

// firstUnavoided returns the first maxCandidates names for which avoid returns false.
func firstUnavoided(names []string, avoid func(name string) bool) []string {
	var out []string
	for _, n := range names {
		if len(out) == maxCandidates {
			break
		}
		if !avoid(n) {
			out = append(out, n)
		}
	}
	return out
}

// rank returns the names of the members for which include returns true, by capacity and
// then in rendezvous order of key.
func (s *Sources) rank(key string, include func(*registrar.Member) bool) []string {
	classes := make(map[string]int, len(s.Members))
	var names []string
	for i := range s.Members {
		if m := &s.Members[i]; include(m) {
			names = append(names, m.Name)
			classes[m.Name] = capacityClass(m.Capacity)
		}
	}
	names = hasher.RankNames(key, names)
	slices.SortStableFunc(names, func(a, b string) int { return classes[b] - classes[a] })
	return names
}

// capacityClass returns the binary order of magnitude of a capacity; instances of one
// class are treated alike.
func capacityClass(capacity float64) int {
	if capacity <= 0 {
		return math.MinInt32
	}
	return math.Ilogb(capacity)
}
