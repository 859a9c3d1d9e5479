package server

import (
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"

	"google.golang.org/protobuf/proto"
)

// ForceNewFleet makes the fleet that agrees on the policy anew out of one voter's store, while that gatherer does not run. With do false it changes
// nothing and only reports what would be given up. See rollout.ForceNewFleet.
func ForceNewFleet(op config.Operator, execute bool, log *slog.Logger) (report rollout.ForceReport, err error) {
	if op.Rollout == nil || op.Store == nil {
		return report, errNoRollout
	}
	cfg := *op.Store
	cfg.Without = false
	d, err := openDurable(cfg, op.Name, log)
	if err != nil {
		return report, err
	}
	defer d.store.Close()
	h := newPolicyHost(nil, d.store)
	memory, err := h.recall()
	if err != nil {
		return report, fmt.Errorf("rollout: %w", err)
	}
	identity := randomID() | 1
	disk, report, err := rollout.ForceNewFleet(memory.Disk, memory.Current, op.Name, identity)
	if err != nil || !execute {
		return report, err
	}
	var s wire.State
	if err := proto.Unmarshal(disk.Snapshot.Data, &s); err != nil {
		return report, err
	}
	// First the records under the new id, which are not in use yet; then the members and the identity that make them valid.
	if err := h.Save(&rollout.Save{ID: disk.ID, HardState: disk.HardState, Snapshot: disk.Snapshot}); err != nil {
		return report, fmt.Errorf("rollout: %w", err)
	}
	if err := h.Roster(&wire.State{Members: s.Members, MembersIndex: s.MembersIndex}); err != nil {
		return report, fmt.Errorf("rollout: %w", err)
	}
	if err := writeRecords(d.store, recordlog.Record{Kind: recordlog.Rollout, Key: keyIdentity, Value: binary.BigEndian.AppendUint64(nil, identity)}); err != nil {
		return report, errors.Join(errors.New("rollout: the new identity is not on disk: do it again"), err)
	}
	// The vote in the global agreement belongs to the old identity and is dropped, as on a lost disk. This comes last: a voter that forgets its vote
	// under an identity that is still known could vote twice.
	if err := h.global.drop(); err != nil {
		return report, errors.Join(errors.New("rollout: the vote in the global agreement is still there: do it again"), err)
	}
	return report, nil
}
