// Package directory is the state machine of the shard that holds the configuration: the configuration itself, the named versions of
// weights, which replicas each group should have, and which machines are to be emptied.
package directory

import (
	"bufio"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"maps"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"sync"

	"google.golang.org/protobuf/proto"
)

// Shard is the name of the shard and of its group.
const Shard = "directory"

// maxRemembered is the number of taken configurations that are known again when they are sent once more. Of older ones nobody can say whether they
// were taken: such an order is neither acknowledged nor refused.
const maxRemembered = 8192

// acceptedPerRecord is the number of taken configurations in one record of a snapshot.
const acceptedPerRecord = 1024

// Directory is the state. Apply, Snapshot and Restore are for the replica's goroutine; the rest may be called by any.
type Directory struct {
	feed *feed.Table

	mu               sync.RWMutex
	version          uint64
	configuration    []byte // packed
	table            *configuration.Table
	accepted         []*rpc.TakenConfiguration // in order
	acceptedDigests  map[string]bool           // digests of taken
	forgottenVersion uint64                    // the highest version that was taken and is no longer in taken
	namedVersions    map[string]uint64
	placements       map[string]*rpc.Placement
	retirements      map[string]bool // machine: completed
	singleVersion    map[string]bool // model: texts are made by one version
}

// New returns an empty directory that publishes its changes.
func New(table *feed.Table) *Directory {
	return &Directory{
		feed: table, acceptedDigests: map[string]bool{}, namedVersions: map[string]uint64{}, placements: map[string]*rpc.Placement{}, retirements: map[string]bool{}, singleVersion: map[string]bool{},
		table: configuration.NewTable(&configuration.Document{}),
	}
}

// ReplaceCommand is the command for an operator's order: a whole configuration, or a change of named items, on top of a version.
func ReplaceCommand(base, version uint64, patch bool, body []byte) *rpc.DirectoryCommand {
	return &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Replace{Replace: &rpc.ReplaceConfiguration{
		Base: base, Version: version, Body: compression.Documents.Pack(body), Digest: Digest(base, patch, body), Patch: patch,
	}}}
}

// Digest identifies what an operator sent.
func Digest(base uint64, patch bool, body []byte) []byte {
	h := sha256.New()
	var head [9]byte
	binary.BigEndian.PutUint64(head[:], base)
	if patch {
		head[8] = 1
	}
	h.Write(head[:])
	h.Write(body)
	return h.Sum(nil)
}

// Apply implements replica.StateMachine.
func (d *Directory) Apply(index uint64, command []byte) []byte {
	c := &rpc.DirectoryCommand{}
	result := &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_INVALID, Message: "unreadable command"}
	var event *rpc.FeedEvent
	if proto.Unmarshal(command, c) == nil {
		d.mu.Lock()
		result, event = d.apply(index, c)
		d.mu.Unlock()
	}
	if event != nil {
		d.feed.Publish(Shard, index, event)
	} else {
		d.feed.Publish(Shard, index)
	}
	encoded, _ := proto.Marshal(result)
	return encoded
}

func (d *Directory) apply(index uint64, c *rpc.DirectoryCommand) (*rpc.DirectoryResult, *rpc.FeedEvent) {
	done := &rpc.DirectoryResult{}
	switch x := c.Command.(type) {
	case *rpc.DirectoryCommand_Replace:
		return d.replace(x.Replace)
	case *rpc.DirectoryCommand_NameVersion:
		if x.NameVersion.Version <= d.namedVersions[x.NameVersion.Model] {
			return done, nil
		}
		d.namedVersions[x.NameVersion.Model] = x.NameVersion.Version
		return done, &rpc.FeedEvent{Event: &rpc.FeedEvent_Version{Version: x.NameVersion}}
	case *rpc.DirectoryCommand_Place:
		x.Place.Revision = index
		d.placements[x.Place.Group] = x.Place
		return done, &rpc.FeedEvent{Event: &rpc.FeedEvent_Placement{Placement: x.Place}}
	case *rpc.DirectoryCommand_Retire:
		d.retirements[x.Retire.Node] = d.retirements[x.Retire.Node] || x.Retire.Completed
		return done, nil
	case *rpc.DirectoryCommand_Policy:
		if old, ok := d.singleVersion[x.Policy.Model]; ok && old == x.Policy.SingleVersion {
			return done, nil
		}
		d.singleVersion[x.Policy.Model] = x.Policy.SingleVersion
		return done, &rpc.FeedEvent{Event: &rpc.FeedEvent_Policy{Policy: x.Policy}}
	case *rpc.DirectoryCommand_Read:
		return &rpc.DirectoryResult{Configuration: d.configuration}, nil
	}
	return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_INVALID, Message: "unknown command"}, nil
}

// replace takes a configuration where it builds on the current one. One that was taken before is acknowledged once more.
func (d *Directory) replace(r *rpc.ReplaceConfiguration) (*rpc.DirectoryResult, *rpc.FeedEvent) {
	switch {
	case d.acceptedDigests[string(r.Digest)]:
		return &rpc.DirectoryResult{}, nil
	case r.Version <= d.forgottenVersion:
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_UNCERTAIN, Message: "an order of that version may have been taken long ago"}, nil
	}
	if r.Base != d.version {
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_CONFLICT, Message: "another version is current"}, nil
	}
	packed, document, err := d.buildDocument(r)
	if err != nil {
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_INVALID, Message: err.Error()}, nil
	}
	if document.Version <= d.version || document.Version != r.Version {
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_INVALID, Message: "version: is not above the current one"}, nil
	}
	d.version, d.configuration, d.table = document.Version, packed, configuration.NewTable(document)
	d.rememberAccepted(&rpc.TakenConfiguration{Version: r.Version, Digest: r.Digest})
	return &rpc.DirectoryResult{}, &rpc.FeedEvent{Event: &rpc.FeedEvent_Configuration{Configuration: &rpc.ConfigurationEvent{Version: d.version, Body: packed}}}
}

// buildDocument returns the configuration that an order leads to, packed and read.
func (d *Directory) buildDocument(r *rpc.ReplaceConfiguration) (packed []byte, document *configuration.Document, err error) {
	body, err := compression.Documents.Unpack(r.Body)
	if err != nil {
		return nil, nil, err
	}
	packed = r.Body
	if r.Patch {
		current, err := compression.Documents.Unpack(d.configuration)
		if err != nil {
			return nil, nil, err
		}
		if body, err = configuration.ApplyPatch(current, body); err != nil {
			return nil, nil, err
		}
		packed = compression.Documents.Pack(body)
	}
	document, err = configuration.Parse(body)
	return packed, document, err
}

// rememberAccepted notes what was taken, and forgets the older half once there is too much.
func (d *Directory) rememberAccepted(taken *rpc.TakenConfiguration) {
	d.accepted = append(d.accepted, taken)
	d.acceptedDigests[string(taken.Digest)] = true
	if len(d.accepted) <= maxRemembered {
		return
	}
	old := d.accepted[:len(d.accepted)-maxRemembered/2]
	d.accepted = append([]*rpc.TakenConfiguration(nil), d.accepted[len(old):]...)
	for _, t := range old {
		delete(d.acceptedDigests, string(t.Digest))
		d.forgottenVersion = max(d.forgottenVersion, t.Version)
	}
}

// Snapshot implements replica.StateMachine.
func (d *Directory) Snapshot() (next func() proto.Message) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	first := &rpc.DirectorySnapshot{Version: d.version, Configuration: d.configuration, Models: maps.Clone(d.namedVersions), Forgotten: d.forgottenVersion}
	for _, p := range d.placements {
		first.Placements = append(first.Placements, p)
	}
	for node, completed := range d.retirements {
		first.Retirements = append(first.Retirements, &rpc.Retirement{Node: node, Completed: completed})
	}
	for model, single := range d.singleVersion {
		first.Policies = append(first.Policies, &rpc.ModelPolicy{Model: model, SingleVersion: single})
	}
	taken := d.accepted // it is only ever appended to, or replaced
	return func() proto.Message {
		if first != nil {
			record := first
			first = nil
			return record
		}
		if len(taken) == 0 {
			return nil
		}
		some := taken[:min(len(taken), acceptedPerRecord)]
		taken = taken[len(some):]
		return &rpc.DirectorySnapshot{Taken: some}
	}
}

// Restore implements replica.StateMachine.
func (d *Directory) Restore(index uint64, state *bufio.Reader) error {
	s, err := readSnapshot(state)
	if err != nil {
		return err
	}
	document := &configuration.Document{}
	if len(s.Configuration) > 0 {
		text, err := compression.Documents.Unpack(s.Configuration)
		if err != nil {
			return err
		}
		if document, err = configuration.Parse(text); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.setState(s, document)
	events := d.snapshotEvents()
	d.mu.Unlock()
	d.feed.Replace(Shard, index, events)
	return nil
}

// readSnapshot joins the records of a snapshot. There are none in the one that a group is founded with.
func readSnapshot(state *bufio.Reader) (*rpc.DirectorySnapshot, error) {
	whole := &rpc.DirectorySnapshot{}
	for first := true; ; first = false {
		record := &rpc.DirectorySnapshot{}
		err := replica.ReadRecord(state, record)
		switch {
		case errors.Is(err, io.EOF):
			return whole, nil
		case err != nil:
			return nil, err
		case first:
			whole = record
		default:
			whole.Taken = append(whole.Taken, record.Taken...)
		}
	}
}

// setState replaces the state.
func (d *Directory) setState(s *rpc.DirectorySnapshot, document *configuration.Document) {
	d.version, d.configuration, d.table = s.Version, s.Configuration, configuration.NewTable(document)
	d.accepted, d.forgottenVersion, d.acceptedDigests = s.Taken, s.Forgotten, make(map[string]bool, len(s.Taken))
	for _, t := range s.Taken {
		d.acceptedDigests[string(t.Digest)] = true
	}
	d.namedVersions, d.placements = map[string]uint64{}, map[string]*rpc.Placement{}
	maps.Copy(d.namedVersions, s.Models)
	d.retirements, d.singleVersion = map[string]bool{}, map[string]bool{}
	for _, p := range s.Policies {
		d.singleVersion[p.Model] = p.SingleVersion
	}
	for _, p := range s.Placements {
		d.placements[p.Group] = p
	}
	for _, r := range s.Retirements {
		d.retirements[r.Node] = r.Completed
	}
}

func (d *Directory) snapshotEvents() (events []*rpc.FeedEvent) {
	if d.version > 0 {
		events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Configuration{Configuration: &rpc.ConfigurationEvent{Version: d.version, Body: d.configuration}}})
	}
	for model, version := range d.namedVersions {
		events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Version{Version: &rpc.NameVersion{Model: model, Version: version}}})
	}
	for _, p := range d.placements {
		events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Placement{Placement: p}})
	}
	for model, single := range d.singleVersion {
		events = append(events, &rpc.FeedEvent{Event: &rpc.FeedEvent_Policy{Policy: &rpc.ModelPolicy{Model: model, SingleVersion: single}}})
	}
	return events
}

// SingleVersionPolicy tells whether texts of a model must be made by one version; false for known where nobody has said so yet.
func (d *Directory) SingleVersionPolicy(model string) (single, known bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	single, known = d.singleVersion[model]
	return single, known
}

// Table is the configuration in force.
func (d *Directory) Table() *configuration.Table {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.table
}

// NamedVersions are the newest versions that were named.
func (d *Directory) NamedVersions() map[string]uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	models := make(map[string]uint64, len(d.namedVersions))
	for model, version := range d.namedVersions {
		models[model] = version
	}
	return models
}

// Placements are the wanted replicas by group.
func (d *Directory) Placements() map[string]*rpc.Placement {
	d.mu.RLock()
	defer d.mu.RUnlock()
	placements := make(map[string]*rpc.Placement, len(d.placements))
	for name, p := range d.placements {
		placements[name] = p
	}
	return placements
}

// Retirements tells for each machine that is to be emptied whether it is.
func (d *Directory) Retirements() map[string]bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	retirements := make(map[string]bool, len(d.retirements))
	for node, completed := range d.retirements {
		retirements[node] = completed
	}
	return retirements
}
