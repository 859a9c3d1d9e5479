package replica

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"saffronquay/internal/system/rpc"
)

// writeAheadLog is a file of records, each behind its length and checksum. Whatever is appended is synced before it counts, so a loss of
// power can tear only the last append: the file is cut where it stops being whole.
type writeAheadLog struct {
	folder string
	file   *os.File
	size   int64
	buffer []byte
}

// span is where a record's payload lies in the file.
type span struct{ offset, length int64 }

const (
	logName     = "replicas.log"
	rewriteName = "replicas.new"
	recordHead  = 8 // length and checksum
	recordMost  = 512 << 20
	bufferKept  = 1 << 20
)

// openLog opens the log in a folder and shows its records in order.
func openLog(folder string, show func(payload []byte, at span) error) (*writeAheadLog, error) {
	os.Remove(filepath.Join(folder, rewriteName))
	file, err := os.OpenFile(filepath.Join(folder, logName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, fmt.Errorf("replica: open log: %w", err)
	}
	l := &writeAheadLog{folder: folder, file: file}
	if err := l.scan(show); err != nil {
		file.Close()
		return nil, err
	}
	return l, nil
}

// scan shows the whole records and cuts off what stands behind them.
func (l *writeAheadLog) scan(show func(payload []byte, at span) error) error {
	reader := bufio.NewReaderSize(l.file, 256<<10)
	var payload []byte
	for {
		var head [recordHead]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return l.cut(err)
		}
		length := int64(binary.BigEndian.Uint32(head[:]))
		if length == 0 || length > recordMost {
			return l.cut(io.EOF)
		}
		if int64(cap(payload)) < length {
			payload = make([]byte, length)
		}
		payload = payload[:length]
		if _, err := io.ReadFull(reader, payload); err != nil {
			return l.cut(err)
		}
		if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(head[4:]) {
			return l.cut(io.EOF)
		}
		if err := show(payload, span{l.size + recordHead, length}); err != nil {
			return err
		}
		l.size += recordHead + length
	}
}

// cut ends a scan at the last whole record.
func (l *writeAheadLog) cut(err error) error {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return fmt.Errorf("replica: read log: %w", err)
	}
	info, err := l.file.Stat()
	if err != nil || info.Size() == l.size {
		return err
	}
	if err := l.file.Truncate(l.size); err != nil {
		return err
	}
	return l.file.Sync()
}

// append writes records behind the others and syncs. After an error the file is as it was.
func (l *writeAheadLog) append(records []*rpc.StoredRecord) (spans []span, err error) {
	buffer := l.buffer[:0]
	for _, r := range records {
		start := len(buffer)
		buffer = append(buffer, make([]byte, recordHead)...)
		if buffer, err = (proto.MarshalOptions{}).MarshalAppend(buffer, r); err != nil {
			return nil, err
		}
		payload := buffer[start+recordHead:]
		binary.BigEndian.PutUint32(buffer[start:], uint32(len(payload)))
		binary.BigEndian.PutUint32(buffer[start+4:], crc32.ChecksumIEEE(payload))
		spans = append(spans, span{l.size + int64(start) + recordHead, int64(len(payload))})
	}
	if cap(buffer) <= bufferKept {
		l.buffer = buffer
	}
	if _, err = l.file.WriteAt(buffer, l.size); err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return nil, errors.Join(err, l.file.Truncate(l.size))
	}
	l.size += int64(len(buffer))
	return spans, nil
}

func (l *writeAheadLog) read(at span) ([]byte, error) {
	payload := make([]byte, at.length)
	if _, err := l.file.ReadAt(payload, at.offset); err != nil {
		return nil, fmt.Errorf("replica: read log: %w", err)
	}
	return payload, nil
}

// rewrite writes a new log of some records, puts it in this one's place, and shows its records.
func (l *writeAheadLog) rewrite(keep []span, show func(payload []byte, at span) error) (*writeAheadLog, error) {
	path := filepath.Join(l.folder, rewriteName)
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	err = l.copyTo(file, keep)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = errors.Join(os.Rename(path, filepath.Join(l.folder, logName)), syncFolder(l.folder))
	}
	if err != nil {
		os.Remove(path)
		return nil, fmt.Errorf("replica: rewrite log: %w", err)
	}
	fresh, err := openLog(l.folder, show)
	if err == nil {
		l.file.Close()
	}
	return fresh, err
}

func (l *writeAheadLog) copyTo(file *os.File, keep []span) error {
	writer := bufio.NewWriterSize(file, 256<<10)
	for _, at := range keep {
		head := io.NewSectionReader(l.file, at.offset-recordHead, recordHead+at.length)
		if _, err := io.Copy(writer, head); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func (l *writeAheadLog) close() error { return l.file.Close() }

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
