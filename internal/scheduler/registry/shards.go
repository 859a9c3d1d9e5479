package registry

import (
	"fmt"
	"hash/fnv"
)

// ShardCount is the number of shards that the services are divided among. It is part of the stored state: another number would move services to
// shards that do not know their workers.
const ShardCount = 2

// ShardOf returns the name of the shard that a service's workers belong to. It is a hash of the service's name, the same in every process.
func ShardOf(service string) string {
	h := fnv.New32a()
	h.Write([]byte(service))
	return ShardName(int(h.Sum32() % ShardCount))
}

// ShardName returns the name of shard n, counted from 0. Its replica group and its part of the feed have the same name.
func ShardName(n int) string { return fmt.Sprintf("registry-%d", n) }
