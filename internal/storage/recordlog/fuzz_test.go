package recordlog

import (
	"saffronquay/internal/storage/recordlog/form"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzDecode decodes arbitrary bytes as a record, its header, a frame and a manifest. The header
// that recovery reads must agree with the complete record.
func FuzzDecode(f *testing.F) {
	record, err := proto.Marshal(&form.Record{Version: formatVersion, Seq: 3, At: 4, Until: 5, Kind: 1, Key: []byte("k"), Value: []byte("v")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	frame, err := appendFrame(nil, manifestSeed, 0, &form.Manifest{Version: formatVersion, Store: 1, Epoch: 2})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Fuzz(func(t *testing.T, b []byte) {
		frameAt(b, manifestSeed, 0)
		_, _ = readManifest("manifest", b) // an error is acceptable, a panic is not
		parseFileName(string(b))
		r, err := readRecord(b)
		h, headErr := readHeader(b)
		if err == nil && headErr == nil && (h.seq != r.Seq || h.at != r.At || h.expiresAt != r.ExpiresAt || string(h.key) != r.Key) {
			t.Errorf("header %+v differs from record %+v", h, r)
		}
	})
}
