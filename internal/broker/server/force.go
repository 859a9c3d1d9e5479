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
func ForceNewFleet(op config.Operator, do bool, log *slog.Logger) (given rollout.ForceReport, err error) {
	if op.Rollout == nil || op.Store == nil {
		return given, errNoRollout
	}
	cfg := *op.Store
	cfg.Without = false
	d, err := openDurable(cfg, op.Name, log)
	if err != nil {
		return given, err
	}
	defer d.store.Close()
	h := newPolicyHost(nil, d.store)
	memory, err := h.recall()
	if err != nil {
		return given, fmt.Errorf("rollout: %w", err)
	}
	identity := randomID() | 1
	disk, given, err := rollout.ForceNewFleet(memory.Disk, memory.Current, op.Name, identity)
	if err != nil || !do {
		return given, err
	}
	var s wire.State
	if err := proto.Unmarshal(disk.Snapshot.Data, &s); err != nil {
		return given, err
	}
	// The new disk's records first, by which nobody goes yet; then who votes by them.
	if err := h.Save(&rollout.Save{ID: disk.ID, HardState: disk.HardState, Snapshot: disk.Snapshot}); err != nil {
		return given, fmt.Errorf("rollout: %w", err)
	}
	if err := h.Roster(&wire.State{Members: s.Members, MembersIndex: s.MembersIndex}); err != nil {
		return given, fmt.Errorf("rollout: %w", err)
	}
	if err := writeRecords(d.store, recordlog.Record{Kind: recordlog.Rollout, Key: keyIdentity, Value: binary.BigEndian.AppendUint64(nil, identity)}); err != nil {
		return given, errors.Join(errors.New("rollout: the new identity is not on disk: do it again"), err)
	}
	// A vote in the global agreement was by the old identity: from here on it is as one whose disk is lost. Not before: a vote that is forgotten
	// under an identity that is known could be given twice.
	if err := h.global.drop(); err != nil {
		return given, errors.Join(errors.New("rollout: the vote in the global agreement is still there: do it again"), err)
	}
	return given, nil
}
