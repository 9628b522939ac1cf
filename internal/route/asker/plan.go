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

// groups are the pools of a service by distance.
type groups struct{ zone, region, far []pool }

// plan holds the groups of every service of one map.
type plan struct {
	from     *mapper.Map
	services map[string]*groups
}

// maxParts bounds the pools that one call asks.
const maxParts = 8

// groups returns the pools of a service, nil without such a service.
func (a *Asker) groups(service string) *groups {
	m := a.Map.Load()
	p := a.plan.Load()
	if p == nil || p.from != m {
		p = a.makePlan(m)
		a.plan.Store(p)
	}
	return p.services[service]
}

func (a *Asker) makePlan(m *mapper.Map) *plan {
	p := &plan{from: m, services: make(map[string]*groups, len(m.Services))}
	for name, s := range m.Services {
		p.services[name] = a.group(name, s)
	}
	return p
}

func (a *Asker) group(name string, s *mapper.Service) *groups {
	type place struct{ zone, region string }
	sizes, live := make(map[place]int), make(map[place]int)
	for i := range s.Servers {
		at := place{s.Servers[i].Zone, s.Servers[i].Region}
		sizes[at]++
		if !s.Servers[i].Leaving {
			live[at]++
		}
	}
	g := new(groups)
	for at := range live {
		to := &g.far
		switch {
		case at.region == a.Region && at.zone == a.Zone:
			to = &g.zone
		case at.region == a.Region:
			to = &g.region
		}
		for shard := range granter.Shards(sizes[at]) {
			*to = append(*to, pool{granter.Key{Service: name, Zone: at.zone, Shard: shard}, at.region})
		}
	}
	return g
}

// candidates returns the pools that a call may use: one to ask first and the
// others that are asked when the first has no free slot.
func (g *groups) candidates() (first pool, others []pool, ok bool) {
	if g == nil {
		return pool{}, nil, false
	}
	near, rest := g.zone, g.region
	if len(near) == 0 {
		near, rest = rest, nil
	}
	if len(near) == 0 {
		near = g.far
	}
	if len(near) == 0 {
		return pool{}, nil, false
	}
	if len(near) == 1 {
		return near[0], rest[:min(len(rest), maxParts-1)], true
	}
	i := rand.IntN(len(near))
	others = make([]pool, 0, len(near)+len(rest)-1)
	others = append(append(append(others, near[:i]...), near[i+1:]...), rest...)
	return near[i], others[:min(len(others), maxParts-1)], true
}
