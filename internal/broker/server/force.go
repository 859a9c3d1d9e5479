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

// ForceNewFleet recreates the fleet that agrees on the policy from one voter's store. That gatherer
// must not be running. If execute is false, nothing changes and the report lists what would be
// lost. See rollout.ForceNewFleet.
func ForceNewFleet(op config.Operator, execute bool, log *slog.Logger) (report rollout.ForceReport, err error) {
	if op.Rollout == nil || op.Store == nil {
		return report, errNoRollout
	}
	cfg := *op.Store
	cfg.StartWithout = false
	d, err := openDurable(cfg, op.Name, log)
	if err != nil {
		return report, err
	}
	defer d.store.Close()
	h := newPolicyHost(nil, d.store)
	memory, err := h.load()
	if err != nil {
		return report, fmt.Errorf("rollout: load records: %w", err)
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
	// The records under the new id are written first, since nothing uses them yet; then the members and
	// the identity that make them valid.
	if err := h.Save(&rollout.Save{ID: disk.ID, HardState: disk.HardState, Snapshot: disk.Snapshot}); err != nil {
		return report, fmt.Errorf("rollout: save voter state: %w", err)
	}
	if err := h.Roster(&wire.State{Members: s.Members, MembersIndex: s.MembersIndex}); err != nil {
		return report, fmt.Errorf("rollout: save members: %w", err)
	}
	if err := writeRecords(d.store, recordlog.Record{Kind: recordlog.Rollout, Key: keyIdentity, Value: binary.BigEndian.AppendUint64(nil, identity)}); err != nil {
		return report, errors.Join(errors.New("rollout: save new identity failed: run the command again"), err)
	}
	// The vote in the global agreement belongs to the old identity and is dropped, as if the disk were
	// lost. This must be the last step: a voter that loses its vote but keeps its identity could vote
	// twice in one term.
	if err := h.global.drop(); err != nil {
		return report, errors.Join(errors.New("rollout: remove vote of the global agreement failed: run the command again"), err)
	}
	return report, nil
}
