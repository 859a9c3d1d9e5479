package batchjobs

import (
	"fmt"
	"hash/fnv"
)

// shardPrefix is the prefix of the names of the shards' replica groups. The names are stored in
// placements, so it must not change.
const shardPrefix = "ledger-"

// machinesPerShard is the number of storage machines per shard when a cluster is bootstrapped.
const machinesPerShard = 6

// ShardName returns the name of shard n, which is also the name of its replica group.
func ShardName(n int) string { return fmt.Sprintf("%s%d", shardPrefix, n) }

// ShardOfHost returns the name of the shard that stores the jobs of a host, given the number of
// shards. All processes must use the same number: with a different one, jobs that were accepted
// before are looked up in the wrong shard.
func ShardOfHost(host string, shards int) string {
	h := fnv.New32a()
	h.Write([]byte(host))
	return ShardName(int(h.Sum32() % uint32(max(shards, 1))))
}

// PlacedShardCount returns the number of shards, given which groups are placed. It returns 0 until
// shard 0 is placed: shard 0 is placed last, so that its presence implies all others.
func PlacedShardCount(has func(group string) bool) int {
	if !has(ShardName(0)) {
		return 0
	}
	n := 1
	for has(ShardName(n)) {
		n++
	}
	return n
}

// InitialShardCount returns the number of shards that a cluster with this number of storage machines
// is bootstrapped with.
func InitialShardCount(machines int) int { return 1 + max(machines-1, 0)/machinesPerShard }
