package asker

import (
	"math/rand/v2"

	"sardinelever.example/sardinelever/internal/route/granter"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// pool is a pool with its region.
type pool struct {
	key    granter.Key
	region string
}

// poolsByDistance are the pools of a service by distance.
type poolsByDistance struct{ sameZone, sameRegion, otherRegions []pool }

// poolIndex holds the groups of every service of one map.
type poolIndex struct {
	source   *mapper.Map
	services map[string]*poolsByDistance
}

// maxPools bounds the pools that one call asks.
const maxPools = 8

// poolsOf returns the pools of a service, nil without such a service.
func (c *Asker) poolsOf(service string) *poolsByDistance {
	m := c.Map.Load()
	index := c.poolIndex.Load()
	if index == nil || index.source != m {
		index = c.buildPoolIndex(m)
		c.poolIndex.Store(index)
	}
	return index.services[service]
}

func (c *Asker) buildPoolIndex(m *mapper.Map) *poolIndex {
	index := &poolIndex{source: m, services: make(map[string]*poolsByDistance, len(m.Services))}
	for name, s := range m.Services {
		index.services[name] = c.groupPools(name, s)
	}
	return index
}

func (c *Asker) groupPools(service string, s *mapper.Service) *poolsByDistance {
	type location struct{ zone, region string }
	serverCounts, activeCounts := make(map[location]int), make(map[location]int)
	for i := range s.Servers {
		loc := location{s.Servers[i].Zone, s.Servers[i].Region}
		serverCounts[loc]++
		if !s.Servers[i].Leaving {
			activeCounts[loc]++
		}
	}
	pools := new(poolsByDistance)
	for loc := range activeCounts {
		group := &pools.otherRegions
		switch {
		case loc.region == c.Region && loc.zone == c.Zone:
			group = &pools.sameZone
		case loc.region == c.Region:
			group = &pools.sameRegion
		}
		for shard := range granter.Shards(serverCounts[loc]) {
			*group = append(*group, pool{granter.Key{Service: service, Zone: loc.zone, Shard: shard}, loc.region})
		}
	}
	return pools
}

// choosePools returns the pools that a call may use: one to ask first and the
// others that are asked when the first has no free slot.
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
