package consensus

import (
	"errors"
	"fmt"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

// Why a proposal is rejected. A rejected proposal has no effect.
var (
	// ErrNotLeader says that this replica does not lead or is handing its leadership over, or, for a change of the membership, has not committed an
	// entry of its epoch yet.
	ErrNotLeader = errors.New("consensus: this replica is not the leader")
	// ErrBusy says that an earlier membership change is not committed yet.
	ErrBusy = errors.New("consensus: an earlier membership change is under way")
)

// Propose appends a command to the leader's log. The command is committed if Ready.Committed returns an entry with this index and this
// epoch; if another epoch's entry comes out at the index, the command is lost. The core keeps data, which must not be changed afterwards. The error
// is nil or ErrNotLeader.
func (c *Core) Propose(data []byte) (index, epoch uint64, err error) {
	if c.role != leader || c.transfer != nil {
		return 0, 0, ErrNotLeader
	}
	index = c.appendEntry(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_COMMAND, Data: data})
	return index, c.epoch, nil
}

// ProposeMembership changes the members. It applies to elections and commits as soon as it is in the log. The voters may differ from the
// present ones by one replica, which the caller ensures; NextMembership returns such changes. It returns ErrNotLeader or ErrBusy if no
// change can begin now.
func (c *Core) ProposeMembership(membership *rpc.Membership) error {
	if c.role != leader || c.transfer != nil || !c.hasCommittedOwnEntry() {
		return ErrNotLeader
	}
	if !c.MembershipCommitted() {
		return ErrBusy
	}
	data, err := proto.Marshal(membership)
	if err != nil {
		return fmt.Errorf("consensus: encode the membership: %w", err)
	}
	c.appendEntry(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_MEMBERSHIP, Data: data})
	return nil
}

// appendEntry adds an entry of the leader's epoch to its own log. Ready sends it.
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

// addUnstable has Ready return the entries at and after an index to be persisted.
func (c *Core) addUnstable(index uint64) {
	if c.firstUnstable == 0 || index < c.firstUnstable {
		c.firstUnstable = index
	}
}

// persistedIndex returns the last index that Ready has returned to be persisted.
func (c *Core) persistedIndex() uint64 {
	if c.firstUnstable != 0 {
		return c.firstUnstable - 1
	}
	return c.log.lastIndex()
}
