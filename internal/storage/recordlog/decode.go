package recordlog

import (
	"errors"
	"fmt"
	"saffronquay/internal/storage/recordlog/form"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// errFormat is returned for a payload that is not a record of a known version.
var errFormat = errors.New("store: malformed record or unsupported record version")

// header is a record without its value. key aliases the payload.
type header struct {
	version   uint64
	seq       uint64
	at        int64
	expiresAt int64
	kind      Kind
	key       []byte
	deleted   bool
}

// The field numbers of form.Record.
const (
	fieldVersion = 1
	fieldSeq     = 2
	fieldAt      = 3
	fieldUntil   = 4
	fieldKind    = 5
	fieldKey     = 6
	fieldGone    = 8
)

// readHeader decodes a record without its value. It does not build the message, because opening a
// store decodes millions of records.
func readHeader(b []byte) (h header, err error) {
	for len(b) > 0 {
		number, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return h, errFormat
		}
		b = b[n:]
		switch wireType {
		case protowire.VarintType:
			var x uint64
			if x, n = protowire.ConsumeVarint(b); n < 0 {
				return h, errFormat
			}
			h.setVarint(number, x)
		case protowire.BytesType:
			var x []byte
			if x, n = protowire.ConsumeBytes(b); n < 0 {
				return h, errFormat
			}
			if number == fieldKey {
				h.key = x
			}
		default:
			if n = protowire.ConsumeFieldValue(number, wireType, b); n < 0 {
				return h, errFormat
			}
		}
		b = b[n:]
	}
	if h.version != formatVersion {
		return h, errFormat
	}
	return h, nil
}

func (h *header) setVarint(number protowire.Number, x uint64) {
	switch number {
	case fieldVersion:
		h.version = x
	case fieldSeq:
		h.seq = x
	case fieldAt:
		h.at = int64(x)
	case fieldUntil:
		h.expiresAt = int64(x)
	case fieldKind:
		h.kind = Kind(x)
	case fieldGone:
		h.deleted = x != 0
	}
}

// readRecord decodes a complete record.
func readRecord(payload []byte) (Record, error) {
	var stored form.Record
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return Record{}, fmt.Errorf("store: %w", err)
	}
	if stored.Version != formatVersion {
		return Record{}, errFormat
	}
	return Record{
		Kind: Kind(stored.Kind), Key: string(stored.Key), Value: stored.Value, ExpiresAt: stored.Until, Deleted: stored.Gone,
		At: stored.At, Seq: stored.Seq,
	}, nil
}

// isExpired reports whether a record is expired at time now. An expiresAt of 0 means never.
func isExpired(expiresAt, now int64) bool { return expiresAt != 0 && expiresAt <= now }
