package worker

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// fixedReader reads a body with a Content-Length.
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

// closingReader reads a body without a length, which ends when the worker closes the connection. A
// reset is an error. The answer never becomes complete, so that the connection is not kept.
type closingReader struct{ answer *Answer }

func (r *closingReader) Read(b []byte) (int, error) { return r.answer.conn.reader.Read(b) }

// errMalformedChunk means that the size of a chunk is not a hexadecimal number, or that the data of
// a chunk is not followed by a line end.
var errMalformedChunk = errors.New("worker: malformed chunk in the body of an answer")

// chunkedReader reads a body in chunked transfer encoding.
type chunkedReader struct {
	answer     *Answer
	remaining  int64 // bytes of the current chunk
	insideBody bool  // a chunk was read; its line end comes next
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

// nextChunk reads the head of the next chunk. It returns io.EOF after the last chunk and the
// trailers.
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

// skipTrailers reads to the empty line that ends the body.
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

// readLine returns the next line without its line end. It is valid until the next read.
func (r *chunkedReader) readLine() ([]byte, error) {
	line, err := r.answer.conn.reader.ReadSlice('\n')
	if err != nil {
		return nil, asUnexpectedEOF(err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// asUnexpectedEOF turns io.EOF into an error that wraps io.ErrUnexpectedEOF, and returns any other
// error unchanged.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("worker: read the body of an answer: connection closed before its end: %w", io.ErrUnexpectedEOF)
	}
	return err
}
