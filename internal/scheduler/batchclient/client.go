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

// The errors of Call.
var (
	// ErrOutcomeUnknown means that the call may have taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("batchclient: call not confirmed by the shard owner; it may have taken effect")
	// ErrUnavailable means that the call has had no effect and won't have any.
	ErrUnavailable = errors.New("batchclient: shard owner unavailable; the call had no effect")
)

const (
	// attemptTimeout bounds one attempt, in addition to the time that the owner may wait before it
	// answers.
	attemptTimeout = 900 * time.Millisecond
	// minAttemptTime is the minimum time before the deadline for another attempt: one that the
	// deadline interrupts would only turn a known outcome into an unknown one.
	minAttemptTime = 60 * time.Millisecond
	// retryBackoff is the wait before the next attempt, unless a replica has named another leader.
	retryBackoff = 40 * time.Millisecond
)

// Client finds the owner of each shard and calls it.
type Client struct {
	http *transport.Client
	zone string // of this process

	mu         sync.Mutex
	placements map[string]*rpc.Placement // by group
	leaders    map[string]string         // by shard: address of its last known owner
	zones      map[string]string         // of replicas, by address
	nextTarget int                       // round-robin counter for attempts without a known leader
}

// New returns a client for a process in the given zone. It knows no shards until UpdatePlacement is
// called.
func New(http *transport.Client, zone string) *Client {
	return &Client{http: http, zone: zone, zones: map[string]string{}, placements: map[string]*rpc.Placement{}, leaders: map[string]string{}}
}

// UpdatePlacement replaces the replicas of a group. Groups that are not shards are allowed and have
// no effect.
func (c *Client) UpdatePlacement(p *rpc.Placement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placements[p.Group] = p
}

// SetZone records the zone of the replica at an address.
func (c *Client) SetZone(address, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.zones[address] = zone
}

// NearbyReplica returns the address of a replica in this process's zone that is not known to lead
// the shard, or the empty string if there is none.
func (c *Client) NearbyReplica(shard string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.placements[shard].GetReplicas() {
		if c.zones[r.Address] == c.zone && r.Address != c.leaders[shard] {
			return r.Address
		}
	}
	return ""
}

// ShardNames returns the names of all shards, or none until all shards are placed.
func (c *Client) ShardNames() (names []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := batchjobs.PlacedShardCount(func(group string) bool { return c.placements[group] != nil })
	for n := range count {
		names = append(names, batchjobs.ShardName(n))
	}
	return names
}

// ShardOfHost returns the shard that stores a host's jobs, or the empty string until all shards are
// placed.
func (c *Client) ShardOfHost(host string) string {
	if n := len(c.ShardNames()); n > 0 {
		return batchjobs.ShardOfHost(host, n)
	}
	return ""
}

// Attempt makes one call to the replica that is expected to own a shard. It returns the call's
// outcome and the address of the leader that the replica named; empty if it named none.
type Attempt func(ctx context.Context, owner rpc.Ledger) (outcome rpc.Outcome, leader string, err error)

// Call makes attempts until one has the outcome DONE or the context ends. ownerWait is how long the
// owner may wait before it answers; it is added to the timeout of each attempt. Call may repeat an
// attempt that took effect, so attempts must be idempotent.
//
// Call returns nil, ErrUnavailable or ErrOutcomeUnknown. If the context never ends, it doesn't
// return until an attempt succeeds.
func (c *Client) Call(ctx context.Context, shard string, ownerWait time.Duration, attempt Attempt) error {
	failure := ErrUnavailable
	for {
		if address := c.target(shard); address != "" {
			attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout+ownerWait)
			outcome, leader, err := attempt(attemptCtx, rpc.NewLedgerProtobufClient("http://"+address, c.http))
			cancel()
			switch {
			case errors.Is(err, transport.ErrNotSent):
				c.setLeader(shard, "")
			case err != nil || outcome == rpc.Outcome_OUTCOME_UNKNOWN:
				failure = ErrOutcomeUnknown
				c.setLeader(shard, "")
			case outcome == rpc.Outcome_DONE:
				c.setLeader(shard, address)
				return nil
			case leader != "" && leader != address:
				c.setLeader(shard, leader)
				if ctx.Err() == nil {
					continue
				}
			default:
				c.setLeader(shard, "")
			}
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < retryBackoff+minAttemptTime {
			return failure
		}
		select {
		case <-time.After(retryBackoff):
		case <-ctx.Done():
			return failure
		}
	}
}

// target returns the address to call: the leader if it is known, otherwise each replica in turn, or
// the empty string if the shard is not placed.
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
	c.nextTarget++
	return replicas[c.nextTarget%len(replicas)].Address
}

// setLeader records the address of a shard's owner; empty if it is not known.
func (c *Client) setLeader(shard, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[shard] = address
}
