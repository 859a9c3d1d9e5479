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
	answer *Answer
	left   int64
}

func (r *fixedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		r.answer.whole = true
		return 0, io.EOF
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.answer.conn.reader.Read(b)
	r.left -= int64(n)
	if r.left == 0 {
		r.answer.whole = true
		return n, nil
	}
	return n, unexpected(err)
}

// closingReader reads a body that ends with its connection. A connection that is reset leaves it incomplete.
type closingReader struct{ answer *Answer }

func (r *closingReader) Read(b []byte) (int, error) { return r.answer.conn.reader.Read(b) }

var errChunk = errors.New("worker: broken chunk")

// chunkedReader reads a body in chunks.
type chunkedReader struct {
	answer *Answer
	left   int64
	inside bool
	done   bool
}

func (r *chunkedReader) Read(b []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	if r.left == 0 {
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	if int64(len(b)) > r.left {
		b = b[:r.left]
	}
	n, err := r.answer.conn.reader.Read(b)
	r.left -= int64(n)
	return n, unexpected(err)
}

// next reads the head of the next chunk; io.EOF where it is the last one.
func (r *chunkedReader) next() error {
	if r.inside {
		line, err := r.line()
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return errChunk
		}
	}
	line, err := r.line()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	r.left, err = strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 63)
	if err != nil || r.left < 0 {
		return errChunk
	}
	r.inside = true
	if r.left > 0 {
		return nil
	}
	for { // trailers
		if line, err = r.line(); err != nil {
			return err
		}
		if len(line) == 0 {
			r.done, r.answer.whole = true, true
			return io.EOF
		}
	}
}

func (r *chunkedReader) line() ([]byte, error) {
	line, err := r.answer.conn.reader.ReadSlice('\n')
	if err != nil {
		return nil, unexpected(err)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("worker: the answer breaks off: %w", io.ErrUnexpectedEOF)
	}
	return err
}
