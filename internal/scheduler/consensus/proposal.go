package consensus

import (
	"errors"
	"fmt"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

// Reasons for which a proposal is rejected. A rejected proposal has no effect.
var (
	// ErrNotLeader is returned if this replica does not lead or is transferring its leadership, or,
	// for a membership change, if it has not committed an entry of its epoch yet.
	ErrNotLeader = errors.New("consensus: replica is not the leader")
	// ErrBusy is returned if an earlier membership change is not committed yet.
	ErrBusy = errors.New("consensus: previous membership change is not committed yet")
)

// Propose appends a command to the leader's log. The command is committed if Ready.Committed
// returns an entry with this index and epoch; if it returns an entry of another epoch at the index,
// the command is lost. The core retains data, which must not be modified afterwards. The error is
// nil or ErrNotLeader.
func (c *Core) Propose(data []byte) (index, epoch uint64, err error) {
	if c.role != leader || c.transfer != nil {
		return 0, 0, ErrNotLeader
	}
	index = c.appendEntry(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_COMMAND, Data: data})
	return index, c.epoch, nil
}

// ProposeMembership changes the members. The change applies to elections and commits as soon as it
// is in the log. The caller ensures that the voters differ from the current ones by one replica;
// NextMembership returns such changes. The error is ErrNotLeader or ErrBusy if no change can start
// now.
func (c *Core) ProposeMembership(membership *rpc.Membership) error {
	if c.role != leader || c.transfer != nil || !c.hasCommittedInEpoch() {
		return ErrNotLeader
	}
	if !c.MembershipCommitted() {
		return ErrBusy
	}
	data, err := proto.Marshal(membership)
	if err != nil {
		return fmt.Errorf("consensus: encode membership: %w", err)
	}
	c.appendEntry(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_MEMBERSHIP, Data: data})
	return nil
}

// appendEntry appends an entry of the leader's epoch to its own log. Ready sends it.
func (c *Core) appendEntry(entry *rpc.Entry) (index uint64) {
	entry.Index, entry.Epoch = c.log.lastIndex()+1, c.epoch
	c.log.entries = append(c.log.entries, entry)
	c.addUnstable(entry.Index)
	if entry.Kind == rpc.EntryKind_ENTRY_MEMBERSHIP {
		c.refreshMembership()
		c.trackPeers()
	}
	return entry.Index
}

// addUnstable marks the entries starting at an index for persisting by the next Ready.
func (c *Core) addUnstable(index uint64) {
	if c.firstUnstable == 0 || index < c.firstUnstable {
		c.firstUnstable = index
	}
}

// persistedIndex returns the last index that Ready has returned for persisting.
func (c *Core) persistedIndex() uint64 {
	if c.firstUnstable != 0 {
		return c.firstUnstable - 1
	}
	return c.log.lastIndex()
}
