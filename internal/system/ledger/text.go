package ledger

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// Texts are kept and carried in compressed form (Huffman codes only): they make up most of the bytes between zones.

var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// PackText compresses a text.
func PackText(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	var b bytes.Buffer
	b.Grow(len(text)*3/4 + 64)
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	w.Write(text) // writes to memory don't fail
	w.Close()
	return b.Bytes()
}

// UnpackText returns what PackText was given.
func UnpackText(packed []byte) (string, error) {
	if len(packed) == 0 {
		return "", nil
	}
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil {
		return "", fmt.Errorf("ledger: text: %w", err)
	}
	return string(text), nil
}
