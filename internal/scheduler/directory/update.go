package directory

import (
	"crypto/sha256"
	"encoding/binary"
	"saffronquay/internal/scheduler/compression"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/rpc"
)

// maxRemembered is the number of accepted updates that are recognised when they are sent again. The older half is forgotten when there are
// more.
const maxRemembered = 8192

// ReplaceCommand returns the command for an operator's configuration update. Base is the version that the update builds on, version the one
// that it makes. The body is a complete configuration or, if patch is set, a change of named items as configuration.ApplyPatch reads it.
func ReplaceCommand(base, version uint64, patch bool, body []byte) *rpc.DirectoryCommand {
	return &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Replace{Replace: &rpc.ReplaceConfiguration{
		Base:    base,
		Version: version,
		Body:    compression.Documents.Compress(body),
		Digest:  digest(base, patch, body),
		Patch:   patch,
	}}}
}

// digest identifies an update by its base, its kind and its body, as the operator sent them.
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

// replace accepts an update that builds on the current version. One that was accepted before is acknowledged again without effect.
func (d *Directory) replace(r *rpc.ReplaceConfiguration) (*rpc.DirectoryResult, *rpc.FeedEvent) {
	switch {
	case d.acceptedDigests[string(r.Digest)]:
		return ok(), nil
	case r.Version <= d.forgottenVersion:
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_UNCERTAIN, Message: "an order of that version may have been taken long ago"}, nil
	case r.Base != d.version:
		return &rpc.DirectoryResult{Status: rpc.DirectoryStatus_DIRECTORY_CONFLICT, Message: "another version is current"}, nil
	}
	packed, document, err := d.buildDocument(r)
	if err != nil {
		return invalid(err.Error()), nil
	}
	if document.Version <= d.version || document.Version != r.Version {
		return invalid("version: is not above the current one"), nil
	}
	d.version = document.Version
	d.configuration = packed
	d.table = configuration.NewTable(document)
	d.rememberAccepted(&rpc.TakenConfiguration{Version: r.Version, Digest: r.Digest})
	return ok(), configurationEvent(d.version, packed)
}

// buildDocument returns the configuration that an update leads to, as compressed text and parsed.
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

// rememberAccepted records an accepted update. It forgets the older half of the records when they exceed maxRemembered.
func (d *Directory) rememberAccepted(update *rpc.TakenConfiguration) {
	d.accepted = append(d.accepted, update)
	d.acceptedDigests[string(update.Digest)] = true
	if len(d.accepted) <= maxRemembered {
		return
	}
	old := d.accepted[:len(d.accepted)-maxRemembered/2]
	// A new array: a snapshot that is being read still refers to the old one.
	d.accepted = append([]*rpc.TakenConfiguration(nil), d.accepted[len(old):]...)
	for _, t := range old {
		delete(d.acceptedDigests, string(t.Digest))
		d.forgottenVersion = max(d.forgottenVersion, t.Version)
	}
}
