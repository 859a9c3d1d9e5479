package directory

import (
	"crypto/sha256"
	"encoding/binary"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/rpc"
)

// maxAcceptedRecords is the maximum number of accepted updates that are recorded to recognize
// resent ones. The older half is dropped when there are more.
const maxAcceptedRecords = 8192

// ReplaceCommand returns the command for an operator's configuration update. base is the version
// that the update is based on, version the one that it creates. body is a complete configuration
// or, if patch is set, a change of named items in the format of configuration.ApplyPatch.
func ReplaceCommand(base, version uint64, patch bool, body []byte) *rpc.DirectoryCommand {
	return &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Replace{Replace: &rpc.ReplaceConfiguration{
		Base:    base,
		Version: version,
		Body:    compression.Documents.Compress(body),
		Digest:  digest(base, patch, body),
		Patch:   patch,
	}}}
}

// digest identifies an update by its base, its kind and its body, as sent by the operator.
func digest(base uint64, patch bool, body []byte) []byte {
	var head [9]byte
	binary.BigEndian.PutUint64(head[:], base)
	if patch {
		head[8] = 1
	}
	hash := sha256.New()
	hash.Write(head[:])
	hash.Write(body)
	return hash.Sum(nil)
}

// replace accepts an update that is based on the current version. An update that was accepted
// before is acknowledged again without effect.
func (d *Directory) replace(r *rpc.ReplaceConfiguration) (*rpc.DirectoryResult, *rpc.FeedEvent) {
	switch {
	case d.acceptedDigests[string(r.Digest)]:
		return ok(), nil
	case r.Version <= d.maxDroppedVersion:
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_UNCERTAIN, Message: "an update with this version may have been accepted long ago"}, nil
	case r.Base != d.version:
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_CONFLICT, Message: "base version is not the current version"}, nil
	}
	packed, document, err := d.buildDocument(r)
	if err != nil {
		return invalid(err.Error()), nil
	}
	if document.Version <= d.version || document.Version != r.Version {
		return invalid("version: must match the request and be above the current one"), nil
	}
	d.version = document.Version
	d.configuration = packed
	d.table = configuration.NewTable(document)
	d.recordAccepted(&rpc.TakenConfiguration{Version: r.Version, Digest: r.Digest})
	return ok(), configurationEvent(d.version, packed)
}

// buildDocument returns the configuration resulting from an update, as compressed text and parsed.
func (d *Directory) buildDocument(r *rpc.ReplaceConfiguration) (packed []byte, document *configuration.Document, err error) {
	body, err := compression.Documents.Decompress(r.Body)
	if err != nil {
		return nil, nil, err
	}
	packed = r.Body
	if r.Patch {
		current, err := compression.Documents.Decompress(d.configuration)
		if err != nil {
			return nil, nil, err
		}
		if body, err = configuration.ApplyPatch(current, body); err != nil {
			return nil, nil, err
		}
		packed = compression.Documents.Compress(body)
	}
	document, err = configuration.Parse(body)
	return packed, document, err
}

// recordAccepted records an accepted update. It drops the older half of the records when they
// exceed maxAcceptedRecords.
func (d *Directory) recordAccepted(update *rpc.TakenConfiguration) {
	d.accepted = append(d.accepted, update)
	d.acceptedDigests[string(update.Digest)] = true
	if len(d.accepted) <= maxAcceptedRecords {
		return
	}
	old := d.accepted[:len(d.accepted)-maxAcceptedRecords/2]
	// Copied, because a snapshot being read may still refer to the old array.
	d.accepted = append([]*rpc.TakenConfiguration(nil), d.accepted[len(old):]...)
	for _, t := range old {
		delete(d.acceptedDigests, string(t.Digest))
		d.maxDroppedVersion = max(d.maxDroppedVersion, t.Version)
	}
}
