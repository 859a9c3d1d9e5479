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

// writeAheadLog is a file of records, each behind its length and checksum. What counts is synced before it counts, so a loss of power can
// tear only what was written after the last sync: the file is cut where it stops being whole.
type writeAheadLog struct {
	disk   Disk
	file   File
	size   int64
	buffer []byte
	// renamed says that the file took the place of an older one and that its name may not last yet. Nothing counts before it does: a loss
	// of power could bring the older file back.
	renamed bool
}

// span is where a record's payload lies in the file.
type span struct{ offset, length int64 }

const (
	logName            = "replicas.log"
	rewriteName        = "replicas.new"
	recordHeaderBytes  = 8 // length and checksum
	maxRecordBytes     = 512 << 20
	maxKeptBufferBytes = 1 << 20
)

// openLog opens the log on a disk and shows its records in order.
func openLog(disk Disk, show func(payload []byte, at span) error) (*writeAheadLog, error) {
	disk.Remove(rewriteName) // of a rewrite that was not finished; mostly there is none
	file, err := disk.Open(logName)
	if err != nil {
		return nil, fmt.Errorf("replica: open log: %w", err)
	}
	l := &writeAheadLog{disk: disk, file: file}
	if err := l.scan(show); err != nil {
		file.Close()
		return nil, err
	}
	return l, nil
}

// scan shows the whole records and cuts off what stands behind them.
func (l *writeAheadLog) scan(show func(payload []byte, at span) error) error {
	size, err := l.file.Size()
	if err != nil {
		return fmt.Errorf("replica: read log: %w", err)
	}
	reader := bufio.NewReaderSize(io.NewSectionReader(l.file, 0, size), 256<<10)
	var payload []byte
	for {
		var head [recordHeaderBytes]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return l.truncateTail(size, err)
		}
		length := int64(binary.BigEndian.Uint32(head[:]))
		if length == 0 || length > maxRecordBytes {
			return l.truncateTail(size, io.EOF)
		}
		if int64(cap(payload)) < length {
			payload = make([]byte, length)
		}
		payload = payload[:length]
		if _, err := io.ReadFull(reader, payload); err != nil {
			return l.truncateTail(size, err)
		}
		if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(head[4:]) {
			return l.truncateTail(size, io.EOF)
		}
		if err := show(payload, span{l.size + recordHeaderBytes, length}); err != nil {
			return err
		}
		l.size += recordHeaderBytes + length
	}
}

// cut ends a scan at the last whole record.
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

// append writes records behind the others and, where sync is set, has them last. After an error the file is as it was.
func (l *writeAheadLog) append(records []*rpc.StoredRecord, sync bool) (spans []span, err error) {
	if err := l.syncName(); err != nil {
		return nil, err
	}
	buffer := l.buffer[:0]
	for _, r := range records {
		start := len(buffer)
		buffer = append(buffer, make([]byte, recordHeaderBytes)...)
		if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer, r); err != nil {
			return nil, err
		}
		payload := buffer[start+recordHeaderBytes:]
		binary.BigEndian.PutUint32(buffer[start:], uint32(len(payload)))
		binary.BigEndian.PutUint32(buffer[start+4:], crc32.ChecksumIEEE(payload))
		spans = append(spans, span{l.size + int64(start) + recordHeaderBytes, int64(len(payload))})
	}
	if cap(buffer) <= maxKeptBufferBytes {
		l.buffer = buffer
	}
	if _, err = l.file.WriteAt(buffer, l.size); err == nil && sync {
		err = l.file.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, l.file.Truncate(l.size))
	}
	l.size += int64(len(buffer))
	return spans, nil
}

// keepName makes the name of a rewritten file last.
func (l *writeAheadLog) syncName() error {
	if !l.renamed {
		return nil
	}
	if err := l.disk.Sync(); err != nil {
		return fmt.Errorf("replica: sync folder: %w", err)
	}
	l.renamed = false
	return nil
}

func (l *writeAheadLog) read(at span) ([]byte, error) {
	payload := make([]byte, at.length)
	if _, err := l.file.ReadAt(payload, at.offset); err != nil {
		return nil, fmt.Errorf("replica: read log: %w", err)
	}
	return payload, nil
}

// rewrite puts a file of some records in this one's place and moves their spans to where they lie there. After an error everything is as it
// was.
func (l *writeAheadLog) rewrite(keep []*span) error {
	l.disk.Remove(rewriteName)
	file, err := l.disk.Open(rewriteName)
	if err != nil {
		return fmt.Errorf("replica: rewrite log: %w", err)
	}
	size, err := l.copyTo(file, keep)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.disk.Rename(rewriteName, logName)
	}
	if err != nil {
		file.Close()
		l.disk.Remove(rewriteName)
		return fmt.Errorf("replica: rewrite log: %w", err)
	}
	l.file.Close()
	l.file, l.size, l.renamed = file, size, true
	offset := int64(recordHeaderBytes)
	for _, at := range keep {
		at.offset = offset
		offset += at.length + recordHeaderBytes
	}
	return nil
}

// offsetWriter writes to a file from its beginning on.
type offsetWriter struct {
	file   File
	offset int64
}

func (w *offsetWriter) Write(b []byte) (int, error) {
	n, err := w.file.WriteAt(b, w.offset)
	w.offset += int64(n)
	return n, err
}

func (l *writeAheadLog) copyTo(file File, keep []*span) (size int64, err error) {
	to := &offsetWriter{file: file}
	writer := bufio.NewWriterSize(to, 256<<10)
	for _, at := range keep {
		whole := io.NewSectionReader(l.file, at.offset-recordHeaderBytes, recordHeaderBytes+at.length)
		if _, err := io.Copy(writer, whole); err != nil {
			return 0, err
		}
	}
	err = writer.Flush()
	return to.offset, err
}

func (l *writeAheadLog) close() error { return l.file.Close() }
