package replica

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"saffronquay/internal/scheduler/rpc"

	"google.golang.org/protobuf/proto"
)

// writeAheadLog is a file of records. Each record is a header and a payload: the payload's length
// and its CRC-32 (IEEE), both as 32-bit big-endian integers, and an encoded rpc.StoredRecord.
//
// Every write is synced before the replica relies on it. A power failure can therefore tear only
// what was written after the last sync, and the file is truncated at the first incomplete record.
type writeAheadLog struct {
	disk   Disk
	file   File
	size   int64 // of the complete records
	buffer []byte
	// renamed is set if the file has replaced an older one and its name may not be durable yet.
	// Nothing may be appended before it is: a power failure could bring back the older file.
	renamed bool
}

// span is the position of a record's payload in the file.
type span struct{ offset, length int64 }

// durability specifies whether an append has to be durable when it returns.
type durability bool

const (
	notSynced durability = false
	durable   durability = true
)

const (
	logName     = "replicas.log"
	rewriteName = "replicas.new"

	recordHeaderBytes  = 8
	checksumOffset     = 4 // in the header
	maxRecordBytes     = 512 << 20
	maxKeptBufferBytes = 1 << 20 // a larger buffer is not reused for the next append
	ioBufferBytes      = 256 << 10
)

// openLog opens the log on a disk and calls visit with its records in order. payload is valid only
// during the call. An error of visit stops it.
func openLog(disk Disk, visit func(payload []byte, at span) error) (*writeAheadLog, error) {
	_ = disk.Remove(rewriteName) // left over from an interrupted rewrite; usually does not exist
	file, err := disk.Open(logName)
	if err != nil {
		return nil, fmt.Errorf("replica: open log: %w", err)
	}
	l := &writeAheadLog{disk: disk, file: file}
	if err := l.scan(visit); err != nil {
		file.Close()
		return nil, err
	}
	return l, nil
}

// scan visits the complete records and truncates the file after them.
func (l *writeAheadLog) scan(visit func(payload []byte, at span) error) error {
	size, err := l.file.Size()
	if err != nil {
		return fmt.Errorf("replica: read log: %w", err)
	}
	reader := bufio.NewReaderSize(io.NewSectionReader(l.file, 0, size), ioBufferBytes)
	var payload []byte
	for {
		payload, err = readFrame(reader, payload, size-l.size-recordHeaderBytes)
		if err != nil {
			return l.truncateTail(size, err)
		}
		length := int64(len(payload))
		if err := visit(payload, span{l.size + recordHeaderBytes, length}); err != nil {
			return err
		}
		l.size += recordHeaderBytes + length
	}
}

// readFrame reads the next record and returns its payload, in buffer if that is large enough. rest
// is the maximum length of a payload that is complete in the file: a torn header may contain any
// length, for which no memory is allocated. It returns io.EOF or io.ErrUnexpectedEOF if there is no
// complete record.
func readFrame(reader io.Reader, buffer []byte, rest int64) (payload []byte, err error) {
	var header [recordHeaderBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := int64(binary.BigEndian.Uint32(header[:]))
	if length == 0 || length > min(maxRecordBytes, rest) {
		return nil, io.EOF
	}
	if int64(cap(buffer)) < length {
		buffer = make([]byte, length)
	}
	payload = buffer[:length]
	if _, err := io.ReadFull(reader, payload); err != nil {
		return nil, err
	}
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(header[checksumOffset:]) {
		return nil, io.EOF
	}
	return payload, nil
}

// truncateTail truncates the file after the last complete record. It returns err, which ended the
// scan, if it is not an end of file.
func (l *writeAheadLog) truncateTail(size int64, err error) error {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("replica: read log: %w", err)
	}
	if size == l.size {
		return nil
	}
	if err := l.file.Truncate(l.size); err != nil {
		return err
	}
	return l.file.Sync()
}

// append appends records and returns their positions. After an error the log is unchanged.
func (l *writeAheadLog) append(records []*rpc.StoredRecord, durability durability) (spans []span, err error) {
	if err := l.syncName(); err != nil {
		return nil, err
	}
	buffer, spans, err := l.encode(records)
	if err != nil {
		return nil, err
	}
	if _, err = l.file.WriteAt(buffer, l.size); err == nil && durability == durable {
		err = l.file.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, l.file.Truncate(l.size))
	}
	l.size += int64(len(buffer))
	return spans, nil
}

// encode returns the encoded records to append, and their future positions. The buffer is valid
// until the next call.
func (l *writeAheadLog) encode(records []*rpc.StoredRecord) (buffer []byte, spans []span, err error) {
	buffer = l.buffer[:0]
	for _, r := range records {
		start := len(buffer)
		buffer = append(buffer, make([]byte, recordHeaderBytes)...)
		if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer, r); err != nil {
			return nil, nil, err
		}
		payload := buffer[start+recordHeaderBytes:]
		binary.BigEndian.PutUint32(buffer[start:], uint32(len(payload)))
		binary.BigEndian.PutUint32(buffer[start+checksumOffset:], crc32.ChecksumIEEE(payload))
		spans = append(spans, span{l.size + int64(start) + recordHeaderBytes, int64(len(payload))})
	}
	if cap(buffer) <= maxKeptBufferBytes {
		l.buffer = buffer
	}
	return buffer, spans, nil
}

// syncName makes the name of a rewritten file durable.
func (l *writeAheadLog) syncName() error {
	if !l.renamed {
		return nil
	}
	if err := l.disk.Sync(); err != nil {
		return fmt.Errorf("replica: sync log directory: %w", err)
	}
	l.renamed = false
	return nil
}

// read returns the payload of a record.
func (l *writeAheadLog) read(at span) ([]byte, error) {
	payload := make([]byte, at.length)
	if _, err := l.file.ReadAt(payload, at.offset); err != nil {
		return nil, fmt.Errorf("replica: read log: %w", err)
	}
	return payload, nil
}

// rewrite replaces the file by one that has only the live records, in the order of live, and
// updates their spans. After an error the log is unchanged.
func (l *writeAheadLog) rewrite(live []*span) error {
	_ = l.disk.Remove(rewriteName) // left over from a failed rewrite; usually does not exist
	file, err := l.disk.Open(rewriteName)
	if err != nil {
		return fmt.Errorf("replica: rewrite log: %w", err)
	}
	size, err := l.copyTo(file, live)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.disk.Rename(rewriteName, logName)
	}
	if err != nil {
		file.Close()
		_ = l.disk.Remove(rewriteName) // otherwise removed before the next rewrite or at the next start
		return fmt.Errorf("replica: rewrite log: %w", err)
	}
	l.file.Close()
	l.file, l.size, l.renamed = file, size, true
	offset := int64(recordHeaderBytes)
	for _, at := range live {
		at.offset = offset
		offset += at.length + recordHeaderBytes
	}
	return nil
}

// offsetWriter writes sequentially to a file, starting at its beginning.
type offsetWriter struct {
	file   File
	offset int64
}

func (w *offsetWriter) Write(b []byte) (int, error) {
	n, err := w.file.WriteAt(b, w.offset)
	w.offset += int64(n)
	return n, err
}

// copyTo copies records to an empty file and returns its size.
func (l *writeAheadLog) copyTo(file File, live []*span) (size int64, err error) {
	to := &offsetWriter{file: file}
	writer := bufio.NewWriterSize(to, ioBufferBytes)
	for _, at := range live {
		record := io.NewSectionReader(l.file, at.offset-recordHeaderBytes, recordHeaderBytes+at.length)
		if _, err := io.Copy(writer, record); err != nil {
			return 0, err
		}
	}
	err = writer.Flush()
	return to.offset, err
}

func (l *writeAheadLog) close() error { return l.file.Close() }
