package batchjobs

import (
	"fmt"
	"hash/fnv"
)

// shardPrefix begins the name of each shard's replica group. It is stored in placements, so it can't change.
const shardPrefix = "ledger-"

// machinesPerShard is the number of storage machines per shard when a system is founded.
const machinesPerShard = 6

// ShardName returns the name of shard n, which is also the name of its replica group.
func ShardName(n int) string { return fmt.Sprintf("%s%d", shardPrefix, n) }

// ShardOfHost returns the name of the shard that keeps the jobs of a host, out of a number of shards. All processes must use the same number:
// with another one, jobs that were accepted before are looked for in the wrong shard.
func ShardOfHost(host string, shards int) string {
	h := fnv.New32a()
	h.Write([]byte(host))
	return ShardName(int(h.Sum32() % uint32(max(shards, 1))))
}

// PlacedShardCount returns how many shards there are, given which groups are placed. It returns 0 while shard 0 is missing: shard 0
// is placed last, so its presence means that all others are placed.
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

// InitialShardCount returns how many shards a system with so many storage machines is founded with.
func InitialShardCount(machines int) int { return 1 + max(machines-1, 0)/machinesPerShard }
