package recordlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"saffronquay/internal/storage/recordlog/form"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// A frame is a magic number, its payload's length and a checksum, of 4, 4 and 8 bytes, little-endian, and the payload. The checksum
// is XXH64 of the payload, mixed with the file that the frame belongs to and its place there: bytes of another file, or of
// another place, are no frame here.
const (
	magic       = 0x71524653 // "SFRq"
	frameHead   = 16
	version     = 1
	mostPayload = 16 << 20
	mostFile    = 1 << 30
	// MaxValue bounds a record's key and value together, in bytes.
	MaxValue = mostPayload - 1<<10
)

// mix spreads the bits of a number, as splitmix64's finalizer does.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func sum(seed uint64, off int64, payload []byte) uint64 {
	return xxhash.Sum64(payload) ^ mix(seed+uint64(off)*0x9e3779b97f4a7c15+1)
}

// seed tells one segment's frames from all others'.
func seed(store, epoch uint64, id uint32) uint64 { return mix(mix(store)+epoch) + uint64(id) }

// appendFrame appends a message as the frame at an offset.
func appendFrame(dst []byte, seed uint64, off int64, m proto.Message) ([]byte, error) {
	at := len(dst)
	dst = append(dst, make([]byte, frameHead)...)
	dst, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(dst, m)
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	payload := dst[at+frameHead:]
	if len(payload) > mostPayload {
		return nil, fmt.Errorf("store: a record of %d bytes", len(payload))
	}
	binary.LittleEndian.PutUint32(dst[at:], magic)
	binary.LittleEndian.PutUint32(dst[at+4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(dst[at+8:], sum(seed, off, payload))
	return dst, nil
}

// frameAt is the payload of the frame at an offset of a file's bytes; ok is false where there is none. short tells that the bytes end
// before it could: a write that was cut off looks like that, and so does space that was never written.
func frameAt(b []byte, seed uint64, off int64) (payload []byte, ok, short bool) {
	if off >= int64(len(b)) {
		return nil, false, true
	}
	b = b[off:]
	if len(b) < frameHead {
		return nil, false, true
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if binary.LittleEndian.Uint32(b) != magic {
		for _, x := range b {
			if x != 0 {
				return nil, false, false
			}
		}
		return nil, false, true
	}
	if n > mostPayload {
		return nil, false, false
	}
	if frameHead+n > len(b) {
		return nil, false, true
	}
	payload = b[frameHead : frameHead+n]
	ok = sum(seed, off, payload) == binary.LittleEndian.Uint64(b[8:])
	return payload, ok, false
}

// header is what recovery needs of a record. key points into the payload.
type header struct {
	seq       uint64
	at, until int64
	kind      Kind
	key       []byte
	gone      bool
}

var errForm = errors.New("store: not a record of version 1")

// readHeader reads a record without its value: opening goes through millions of them.
func readHeader(b []byte) (h header, err error) {
	v := uint64(0)
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return h, errForm
		}
		b = b[n:]
		switch {
		case typ == protowire.VarintType:
			x, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return h, errForm
			}
			b = b[n:]
			switch num {
			case 1:
				v = x
			case 2:
				h.seq = x
			case 3:
				h.at = int64(x)
			case 4:
				h.until = int64(x)
			case 5:
				h.kind = Kind(x)
			case 8:
				h.gone = x != 0
			}
		case typ == protowire.BytesType:
			x, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return h, errForm
			}
			if b = b[n:]; num == 6 {
				h.key = x
			}
		default:
			if n = protowire.ConsumeFieldValue(num, typ, b); n < 0 {
				return h, errForm
			}
			b = b[n:]
		}
	}
	if v != version {
		return h, errForm
	}
	return h, nil
}

// readRecord reads a record whole.
func readRecord(payload []byte) (Record, error) {
	var f form.Record
	if err := proto.Unmarshal(payload, &f); err != nil {
		return Record{}, fmt.Errorf("store: %w", err)
	}
	if f.Version != version {
		return Record{}, errForm
	}
	return Record{Kind: Kind(f.Kind), Key: string(f.Key), Value: f.Value, ExpiresAt: f.Until, Deleted: f.Gone, At: f.At, Seq: f.Seq}, nil
}

// expired tells that a record's time is over.
func expired(until, now int64) bool { return until != 0 && until <= now }

// frameLength is how long the payload of a frame is by its head.
func frameLength(head []byte) int { return int(binary.LittleEndian.Uint32(head[4:])) }

// checked tells whether a whole frame is what was written at an offset.
func checked(b []byte, seed uint64, off int64) bool {
	return sum(seed, off, b[frameHead:]) == binary.LittleEndian.Uint64(b[8:])
}
