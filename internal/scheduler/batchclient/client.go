// Package batchclient calls the owners of the ledger's shards, wherever they are.
package batchclient

import (
	"context"
	"errors"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"sync"
	"time"
)

// Client finds the owner of each shard and calls it.
type Client struct {
	HTTP *transport.Client
	Zone string // of this process

	mu         sync.Mutex
	placements map[string]*rpc.Placement
	leaders    map[string]string
	zones      map[string]string // of replicas, by address
	turn       int
}

// New returns a client that knows no shards yet.
func New(http *transport.Client, zone string) *Client {
	return &Client{HTTP: http, Zone: zone, zones: map[string]string{}, placements: map[string]*rpc.Placement{}, leaders: map[string]string{}}
}

// Errors of calls.
var (
	// ErrUnknown says that the call may take effect although nobody said so.
	ErrOutcomeUnknown = errors.New("ledger: no clear answer")
	// ErrUnavailable says that the call has had no effect.
	ErrUnavailable = errors.New("ledger: no owner answers")
)

const (
	tryTimeout = 900 * time.Millisecond
	retryPause = 40 * time.Millisecond
)

// Place notes the replicas of a group.
func (c *Client) UpdatePlacement(p *rpc.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placements[p.Group] = p
}

// Locate notes the zone of an address.
func (c *Client) SetZone(address, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[address] = zone
}

// Near is a replica of a shard in this process's zone; empty where there is none, or where it leads and is called anyway.
func (c *Client) NearbyReplica(shard string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.placements[shard].GetReplicas() {
		if c.zones[r.Address] == c.Zone && r.Address != c.leaders[shard] {
			return r.Address
		}
	}
	return ""
}

// Shards are the names of the shards; none while they are not placed yet.
func (c *Client) ShardNames() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := batchjobs.PlacedShardCount(func(group string) bool { return c.placements[group] != nil })
	for n := range count {
		names = append(names, batchjobs.ShardName(n))
	}
	return names
}

// ShardOf is the shard of a host's jobs; empty while the shards are not placed yet.
func (c *Client) ShardOfHost(host string) string {
	if n := len(c.ShardNames()); n > 0 {
		return batchjobs.ShardOfHost(host, n)
	}
	return ""
}

// target is the replica to ask: the leader where it is known, else each in turn.
func (c *Client) target(shard string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader := c.leaders[shard]; leader != "" {
		return leader
	}
	replicas := c.placements[shard].GetReplicas()
	if len(replicas) == 0 {
		return ""
	}
	c.turn++
	return replicas[c.turn%len(replicas)].Address
}

func (c *Client) learn(shard, asked, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader == asked {
		leader = ""
	}
	c.leaders[shard] = leader
}

// Call calls the owner of a shard until one has answered or the context ends. call returns the outcome, and the leader that the process
// named. A call must do no harm when it takes effect twice.
func (c *Client) Call(ctx context.Context, shard string, extra time.Duration, call func(context.Context, rpc.Ledger) (rpc.Outcome, string, error)) error {
	failure := ErrUnavailable
	for {
		if address := c.target(shard); address != "" {
			tryCtx, cancel := context.WithTimeout(ctx, tryTimeout+extra)
			outcome, leader, err := call(tryCtx, rpc.NewLedgerProtobufClient("http://"+address, c.HTTP))
			cancel()
			switch {
			case err != nil:
				failure = ErrOutcomeUnknown
				c.learn(shard, address, "")
			case outcome == rpc.Outcome_DONE:
				c.mu.Lock()
				c.leaders[shard] = address
				c.mu.Unlock()
				return nil
			case outcome == rpc.Outcome_OUTCOME_UNKNOWN:
				failure = ErrOutcomeUnknown
				c.learn(shard, address, "")
			default:
				c.learn(shard, address, leader)
				if leader != "" && leader != address && ctx.Err() == nil {
					continue
				}
			}
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return failure
		}
	}
}
