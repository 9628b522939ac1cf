package allocator

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sardinelever.example/sardinelever/internal/route/router"
)

// PoolKey identifies a pool: the backend servers of a service in one availability
// zone, or one shard of them.
type PoolKey struct {
	Service string
	Zone    string
	Shard   uint32
}

// String returns the key as it appears in placement, status and the audit
// trail.
func (k PoolKey) String() string {
	s := k.Service + "/" + k.Zone
	if k.Shard > 0 {
		s += "/" + strconv.FormatUint(uint64(k.Shard), 10)
	}
	return s
}

// maxShardServers is the number of servers above which a pool is split into
// shards.
const maxShardServers = 64

// ShardCount returns the number of shards of a pool with n backend servers.
func ShardCount(n int) uint32 { return uint32(max((n+maxShardServers-1)/maxShardServers, 1)) }

// ShardOf returns the index of the shard, out of n, to which a backend server
// belongs.
func ShardOf(addr netip.AddrPort, n uint32) uint32 {
	if n <= 1 {
		return 0
	}
	return uint32(xxhash.Sum64String(addr.String()) % uint64(n))
}

// PoolMembers returns the backend servers of s that belong to pool k.
func PoolMembers(s *router.Service, k PoolKey) []router.BackendServer {
	var zone []router.BackendServer
	for i := range s.Servers {
		if s.Servers[i].Zone == k.Zone {
			zone = append(zone, s.Servers[i])
		}
	}
	n := ShardCount(len(zone))
	if n == 1 {
		return zone
	}
	var shard []router.BackendServer
	for i := range zone {
		if ShardOf(zone[i].Address, n) == k.Shard {
			shard = append(shard, zone[i])
		}
	}
	return shard
}

// PoolKeyOf returns the key of the pool to which backend server b of s belongs.
func PoolKeyOf(s *router.Service, b *router.BackendServer) PoolKey {
	n := 0
	for i := range s.Servers {
		if s.Servers[i].Zone == b.Zone {
			n++
		}
	}
	return PoolKey{Service: s.Name, Zone: b.Zone, Shard: ShardOf(b.Address, ShardCount(n))}
}
