package registry

import (
	"fmt"
	"hash/fnv"
)

// ShardCount is the number of shards among which the services are divided. The stored state depends
// on it: a different number would move services to shards that do not have their workers.
const ShardCount = 2

// ShardOf returns the name of the shard of a service's workers. It is based on a hash of the
// service's name that is the same in every process.
func ShardOf(service string) string {
	h := fnv.New32a()
	h.Write([]byte(service))
	return ShardName(int(h.Sum32() % ShardCount))
}

// ShardName returns the name of shard n, counted from 0. It is also the name of its replica group
// and of its shard in the feed.
func ShardName(n int) string { return fmt.Sprintf("registry-%d", n) }
