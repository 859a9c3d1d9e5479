package compression

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Decompress returns the data that was passed to Compress, also with pooled readers and writers, and
// after an error.
func TestCodec_RoundTrip(t *testing.T) {
	is := is.New(t)
	for _, codec := range []*Codec{Texts, Documents} {
		for _, text := range [][]byte{nil, []byte("a"), bytes.Repeat([]byte("asiento 0123 "), 10_000)} {
			for range 2 { // the second pass uses pooled readers and writers
				back, err := codec.Decompress(codec.Compress(text))
				is.NoErr(err)
				is.True(bytes.Equal(back, text))
			}
		}
		_, err := codec.Decompress([]byte("no such thing"))
		is.True(err != nil)
		back, err := codec.Decompress(codec.Compress([]byte("after an error")))
		is.NoErr(err)
		is.Equal(string(back), "after an error")
	}
}

// A configuration with many routes is compressed to less than a quarter of its size.
func TestCodec_CompressesConfigurations(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	for i := range 500 {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","pathPrefix":"/%x/","type":"idempotent","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"huvo11a","maxAttempts":2},`,
			i*7919, i*104729, i*1299709)
	}
	is.True(len(Documents.Compress(b.Bytes())) < b.Len()/4)
}
