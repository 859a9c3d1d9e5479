package worker

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// fixedReader reads a body whose length the head states.
type fixedReader struct {
	answer    *Answer
	remaining int64
}

func (r *fixedReader) Read(b []byte) (int, error) {
	if r.remaining <= 0 {
		r.answer.complete = true
		return 0, io.EOF
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.answer.conn.reader.Read(b)
	r.remaining -= int64(n)
	if r.remaining == 0 {
		r.answer.complete = true
		return n, nil
	}
	return n, asUnexpectedEOF(err)
}

// closingReader reads a body that has no length and ends when the worker closes the connection. A reset is an error. The connection is never kept:
// the answer does not become complete.
type closingReader struct{ answer *Answer }

func (r *closingReader) Read(b []byte) (int, error) { return r.answer.conn.reader.Read(b) }

// errMalformedChunk says that a chunk's head is no hexadecimal number, or that a chunk has no line end behind it.
var errMalformedChunk = errors.New("worker: broken chunk")

// chunkedReader reads a body in chunks.
type chunkedReader struct {
	answer     *Answer
	remaining  int64 // of the current chunk
	insideBody bool  // a chunk was read, whose line end is due
	done       bool
}

func (r *chunkedReader) Read(b []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	if r.remaining == 0 {
		if err := r.nextChunk(); err != nil {
			return 0, err
		}
	}
	if int64(len(b)) > r.remaining {
		b = b[:r.remaining]
	}
	n, err := r.answer.conn.reader.Read(b)
	r.remaining -= int64(n)
	return n, asUnexpectedEOF(err)
}

// nextChunk reads the head of the next chunk. It returns io.EOF behind the last chunk and its trailers.
func (r *chunkedReader) nextChunk() error {
	if r.insideBody {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return errMalformedChunk
		}
	}
	line, err := r.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";")) // extensions are ignored
	r.remaining, err = strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 63)
	if err != nil || r.remaining < 0 {
		return errMalformedChunk
	}
	r.insideBody = true
	if r.remaining > 0 {
		return nil
	}
	if err := r.skipTrailers(); err != nil {
		return err
	}
	r.done, r.answer.complete = true, true
	return io.EOF
}

// skipTrailers reads up to the empty line that ends the body.
func (r *chunkedReader) skipTrailers() error {
	for {
		line, err := r.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			return nil
		}
	}
}

// readLine returns the next line without its end. It is valid until the next read.
func (r *chunkedReader) readLine() ([]byte, error) {
	line, err := r.answer.conn.reader.ReadSlice('\n')
	if err != nil {
		return nil, asUnexpectedEOF(err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// asUnexpectedEOF turns io.EOF into an error that wraps io.ErrUnexpectedEOF, and returns any other error as it is.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("worker: the answer breaks off: %w", io.ErrUnexpectedEOF)
	}
	return err
}
