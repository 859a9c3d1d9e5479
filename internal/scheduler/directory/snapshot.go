package directory

import (
	"bufio"
	"errors"
	"io"
	"maps"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

// acceptedPerRecord is the number of accepted updates in one record of a snapshot.
const acceptedPerRecord = 1024

// Snapshot implements replica.StateMachine. The first record contains everything but the accepted
// updates, which follow in separate records. The records reflect the state at the time of this
// call, even if commands are applied while they are read.
func (d *Directory) Snapshot() (next func() proto.Message) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	first := &rpc.DirectorySnapshot{
		Version:       d.version,
		Configuration: d.configuration,
		Models:        maps.Clone(d.namedVersions),
		Forgotten:     d.maxDroppedVersion,
	}
	for _, p := range d.placements {
		first.Placements = append(first.Placements, p)
	}
	for node, completed := range d.retirements {
		first.Retirements = append(first.Retirements, &rpc.Retirement{Node: node, Completed: completed})
	}
	for model, single := range d.singleVersionByModel {
		first.Policies = append(first.Policies, &rpc.ModelPolicy{Model: model, SingleVersion: single})
	}
	accepted := d.accepted // only appended to or replaced
	return func() proto.Message {
		if first != nil {
			record := first
			first = nil
			return record
		}
		if len(accepted) == 0 {
			return nil
		}
		part := accepted[:min(len(accepted), acceptedPerRecord)]
		accepted = accepted[len(part):]
		return &rpc.DirectorySnapshot{Taken: part}
	}
}

// Restore implements replica.StateMachine. It replaces the state and the shard in the feed. An
// empty snapshot, which is the initial one of a group, restores an empty directory. After an error
// the directory is unchanged.
func (d *Directory) Restore(index uint64, state *bufio.Reader) error {
	snapshot, err := readSnapshot(state)
	if err != nil {
		return err
	}
	document := &configuration.Document{}
	if len(snapshot.Configuration) > 0 {
		text, err := compression.Documents.Decompress(snapshot.Configuration)
		if err != nil {
			return err
		}
		if document, err = configuration.Parse(text); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.setState(snapshot, document)
	events := d.stateEvents()
	d.mu.Unlock()
	d.feed.Replace(Shard, index, events)
	return nil
}

// readSnapshot merges the records of a snapshot, which may have none.
func readSnapshot(state *bufio.Reader) (*rpc.DirectorySnapshot, error) {
	snapshot := &rpc.DirectorySnapshot{}
	for first := true; ; first = false {
		record := &rpc.DirectorySnapshot{}
		err := replica.ReadRecord(state, record)
		switch {
		case errors.Is(err, io.EOF):
			return snapshot, nil
		case err != nil:
			return nil, err
		case first:
			snapshot = record
		default:
			snapshot.Taken = append(snapshot.Taken, record.Taken...)
		}
	}
}

// setState replaces the state by that of a snapshot.
func (d *Directory) setState(s *rpc.DirectorySnapshot, document *configuration.Document) {
	d.version = s.Version
	d.configuration = s.Configuration
	d.table = configuration.NewTable(document)
	d.accepted = s.Taken
	d.maxDroppedVersion = s.Forgotten
	d.acceptedDigests = make(map[string]bool, len(s.Taken))
	for _, update := range s.Taken {
		d.acceptedDigests[string(update.Digest)] = true
	}
	d.namedVersions = map[string]uint64{}
	maps.Copy(d.namedVersions, s.Models)
	d.singleVersionByModel = map[string]bool{}
	for _, p := range s.Policies {
		d.singleVersionByModel[p.Model] = p.SingleVersion
	}
	d.placements = map[string]*rpc.Placement{}
	for _, p := range s.Placements {
		d.placements[p.Group] = p
	}
	d.retirements = map[string]bool{}
	for _, r := range s.Retirements {
		d.retirements[r.Node] = r.Completed
	}
}
