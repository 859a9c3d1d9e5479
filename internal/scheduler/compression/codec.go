package compression

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

// Codec compresses and decompresses data of one kind. It pools its readers and writers. It is safe for
// concurrent use.
type Codec struct {
	level   int
	writers sync.Pool // of *flate.Writer
	readers sync.Pool // of inflater
}

// inflater is a flate reader that can be reset.
type inflater interface {
	io.Reader
	flate.Resetter
}

var (
	// Texts compresses texts that models generate. They have few repetitions, so the codec uses
	// Huffman codes only, which need little time and memory.
	Texts = newCodec(flate.HuffmanOnly)
	// Documents compresses configurations, which are highly repetitive: their routes differ in a few
	// characters.
	Documents = newCodec(flate.BestSpeed)
)

// compressedBufferBytes is the initial size of the buffer, in addition to half the length of the data.
const compressedBufferBytes = 64

func newCodec(level int) *Codec { return &Codec{level: level} }

// Compress returns the compressed data, or nil for empty data. The result does not share memory with
// text.
func (c *Codec) Compress(text []byte) []byte {
	if len(text) == 0 {
		return nil
	}
	var compressed bytes.Buffer
	compressed.Grow(len(text)/2 + compressedBufferBytes)
	w := c.writer()
	defer c.writers.Put(w)
	w.Reset(&compressed)
	_, _ = w.Write(text) // writes to a bytes.Buffer do not fail
	w.Close()
	return bytes.Clone(compressed.Bytes())
}

// Decompress returns the data that was passed to Compress, or nil for empty data. It returns an error
// if compressed is not complete DEFLATE data.
func (c *Codec) Decompress(compressed []byte) ([]byte, error) {
	if len(compressed) == 0 {
		return nil, nil
	}
	r, err := c.reader(compressed)
	if err != nil {
		return nil, fmt.Errorf("compression: reset reader: %w", err)
	}
	defer c.readers.Put(r)
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("compression: decompress: %w", err)
	}
	return text, nil
}

// writer returns a writer from the pool, or a new one.
func (c *Codec) writer() *flate.Writer {
	if w, ok := c.writers.Get().(*flate.Writer); ok {
		return w
	}
	w, err := flate.NewWriter(io.Discard, c.level)
	if err != nil {
		panic(fmt.Sprintf("compression: level %d: %v", c.level, err)) // levels are constants of this package
	}
	return w
}

// reader returns a reader from the pool, or a new one, that decompresses data.
func (c *Codec) reader(compressed []byte) (io.Reader, error) {
	source := bytes.NewReader(compressed)
	kept, ok := c.readers.Get().(inflater)
	if !ok {
		return flate.NewReader(source), nil
	}
	if err := kept.Reset(source, nil); err != nil {
		return nil, err
	}
	return kept, nil
}
