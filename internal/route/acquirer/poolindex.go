package acquirer

import (
	"math/rand/v2"
	"slices"

	"sardinelever.example/sardinelever/internal/route/allocator"
	"sardinelever.example/sardinelever/internal/route/router"
)

// pool identifies a pool and the region of its backend servers.
type pool struct {
	key    allocator.PoolKey
	region string
}

// poolsByDistance lists the pools of a service by their distance from this instance.
type poolsByDistance struct{ sameZone, sameRegion, otherRegions, unplaced []pool }

// poolIndex lists the pools of every service in one version of the routing
// table.
type poolIndex struct {
	table    *router.RoutingTable // Table that the index was built from.
	services map[string]*poolsByDistance
}

// maxPools is the most pools that one call asks.
const maxPools = 8

// poolsOf returns the pools of service, or nil if there is no such service. It
// builds a new index when the routing table has changed.
func (c *Client) poolsOf(service string) *poolsByDistance {
	table := c.RoutingTable.Load()
	index := c.poolIndex.Load()
	if index == nil || index.table != table {
		index = c.buildPoolIndex(table)
		c.poolIndex.Store(index)
	}
	return index.services[service]
}

func (c *Client) buildPoolIndex(table *router.RoutingTable) *poolIndex {
	index := &poolIndex{table: table, services: make(map[string]*poolsByDistance, len(table.Services))}
	for name, s := range table.Services {
		index.services[name] = c.groupPools(name, s)
	}
	return index
}

// groupPools returns the pools of a service that have backend servers which take calls.
// The number of shards counts the other ones too, as allocator.PoolMembers does.
func (c *Client) groupPools(service string, s *router.Service) *poolsByDistance {
	type location struct {
		zone, region string
		unplaced     bool
	}
	serverCounts, activeCounts := make(map[location]int), make(map[location]int)
	for i := range s.Servers {
		loc := location{s.Servers[i].Zone, s.Servers[i].Region, s.Servers[i].Unplaced}
		serverCounts[loc]++
		if s.Servers[i].TakesCalls() {
			activeCounts[loc]++
		}
	}
	pools := new(poolsByDistance)
	for loc := range activeCounts {
		group := &pools.otherRegions
		switch {
		case loc.unplaced:
			group = &pools.unplaced
		case loc.region == c.Region && loc.zone == c.Zone:
			group = &pools.sameZone
		case loc.region == c.Region:
			group = &pools.sameRegion
		}
		for shard := range allocator.ShardCount(serverCounts[loc]) {
			*group = append(*group, pool{allocator.PoolKey{Service: service, Zone: loc.zone, Shard: shard}, loc.region})
		}
	}
	return pools
}

// choosePools returns the pools that a call may use: a random one of the nearest
// pools to ask first, and the others to ask when the first has no free slot. Pools of
// other regions are used only if this region has none. Those of unplaced servers come last.
func (p *poolsByDistance) choosePools() (first pool, others []pool, ok bool) {
	if p == nil {
		return pool{}, nil, false
	}
	near, rest := p.sameZone, p.sameRegion
	if len(near) == 0 {
		near, rest = rest, nil
	}
	if len(near) == 0 {
		near = p.otherRegions
	}
	if len(near) == 0 {
		near = p.unplaced
	} else if len(p.unplaced) > 0 {
		rest = slices.Concat(rest, p.unplaced)
	}
	if len(near) == 0 {
		return pool{}, nil, false
	}
	if len(near) == 1 {
		return near[0], rest[:min(len(rest), maxPools-1)], true
	}
	i := rand.IntN(len(near))
	others = make([]pool, 0, len(near)+len(rest)-1)
	others = append(append(append(others, near[:i]...), near[i+1:]...), rest...)
	return near[i], others[:min(len(others), maxPools-1)], true
}
