// Package compression compresses what is kept in logs and carried between zones: texts of items, which make up most of the bytes, and
// configurations, which go to every gatherer.
package compression

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// Packer compresses in one way.
type Packer struct {
	writers sync.Pool
	readers sync.Pool
}

func newPacker(level int) *Packer {
	p := &Packer{}
	p.writers.New = func() any {
		w, err := flate.NewWriter(io.Discard, level)
		if err != nil {
			panic(err) // the level is a constant
		}
		return w
	}
	p.readers.New = func() any { return flate.NewReader(bytes.NewReader(nil)) }
	return p
}

var (
	// Texts are what models write, which hardly repeats: Huffman codes only, which cost little time and memory.
	Texts = newPacker(flate.HuffmanOnly)
	// Documents repeat themselves: the routes of a configuration differ in a few characters.
	Documents = newPacker(flate.BestSpeed)
)

// Pack compresses; nothing stays nothing.
func (p *Packer) Pack(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	var b bytes.Buffer
	b.Grow(len(text)/2 + 64)
	w := p.writers.Get().(*flate.Writer)
	defer p.writers.Put(w)
	w.Reset(&b)
	w.Write(text) // writes to memory don't fail
	w.Close()
	return bytes.Clone(b.Bytes())
}

// Unpack returns what Pack was given.
func (p *Packer) Unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	r := p.readers.Get().(io.ReadCloser)
	defer p.readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("packing: %w", err)
	}
	return text, nil
}
