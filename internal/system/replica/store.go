package replica

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/buntdb"
	"google.golang.org/protobuf/proto"

	"saffronquay/internal/system/consensus"
	"saffronquay/internal/system/rpc"
)

// Store keeps what the replicas of a process have promised, in one buntdb file. Every record carries a checksum. A transaction is
// synced before it counts, so only the last one can be torn by a loss of power: Open cuts the file where it stops being whole.
type Store struct {
	folder string
	db     *buntdb.DB
	// written counts the bytes written since the file was last rewritten, live what a rewritten file would hold.
	written, live int64
	sizes         map[string]int64
}

// ErrDamaged says that a stored record is not what was written.
var ErrDamaged = errors.New("replica: a stored record is damaged")

const (
	fileName     = "replicas.db"
	rewriteName  = "replicas.new"
	identityKey  = "identity"
	rewriteAfter = 48 << 20 // bytes of which more than half are of no use any more
)

// OpenStore opens the store in a folder. An empty folder gives an empty store.
func OpenStore(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	s := &Store{folder: folder, sizes: map[string]int64{}}
	os.Remove(filepath.Join(folder, rewriteName))
	if err := cutTornTail(s.path()); err != nil {
		return nil, err
	}
	return s, s.open()
}

func (s *Store) path() string { return filepath.Join(s.folder, fileName) }

func (s *Store) open() error {
	db, err := buntdb.Open(s.path())
	if err != nil {
		return fmt.Errorf("replica: open store: %w", err)
	}
	if err := db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true}); err != nil {
		return err
	}
	s.db = db
	s.live = 0
	clear(s.sizes)
	err = db.View(func(tx *buntdb.Tx) error {
		return tx.Ascend("", func(key, value string) bool {
			s.note(key, len(value))
			return true
		})
	})
	s.written = s.live
	return errors.Join(err, syncFolder(s.folder))
}

func (s *Store) note(key string, size int) {
	total := int64(len(key) + size)
	s.live += total - s.sizes[key]
	s.sizes[key] = total
	s.written += total
}

func (s *Store) forget(key string) {
	s.live -= s.sizes[key]
	delete(s.sizes, key)
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// Identity returns the id that is bound to this disk, empty where the disk has none yet.
func (s *Store) Identity() (string, error) {
	id, err := s.get(identityKey)
	return string(id), err
}

// SetIdentity binds an id to this disk.
func (s *Store) SetIdentity(id string) error {
	return s.db.Update(func(tx *buntdb.Tx) error { return s.set(tx, identityKey, []byte(id)) })
}

func (s *Store) get(key string) (value []byte, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		sealed, err := tx.Get(key)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		if err == nil {
			value, err = unseal(sealed)
		}
		return err
	})
	return value, err
}

func (s *Store) set(tx *buntdb.Tx, key string, value []byte) error {
	sealed := seal(value)
	_, _, err := tx.Set(key, sealed, nil)
	s.note(key, len(sealed))
	return err
}

func seal(value []byte) string {
	var b strings.Builder
	b.Grow(4 + len(value))
	var sum [4]byte
	binary.BigEndian.PutUint32(sum[:], crc32.ChecksumIEEE(value))
	b.Write(sum[:])
	b.Write(value)
	return b.String()
}

func unseal(sealed string) ([]byte, error) {
	if len(sealed) < 4 {
		return nil, ErrDamaged
	}
	value := []byte(sealed[4:])
	if binary.BigEndian.Uint32([]byte(sealed[:4])) != crc32.ChecksumIEEE(value) {
		return nil, ErrDamaged
	}
	return value, nil
}

func hardKey(group string) string     { return "group/" + group + "/hard" }
func snapshotKey(group string) string { return "group/" + group + "/snapshot" }
func entryKey(group string, index uint64) string {
	return fmt.Sprintf("group/%s/log/%016x", group, index)
}

// Groups names the groups that the store holds something of.
func (s *Store) Groups() (names []string, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		return tx.AscendKeys("group/*/snapshot", func(key, _ string) bool {
			names = append(names, strings.Split(key, "/")[1])
			return true
		})
	})
	return names, err
}

// Load reads what is stored of a group.
func (s *Store) Load(group string) (stored consensus.Stored, err error) {
	snapshot, err := s.get(snapshotKey(group))
	if err != nil {
		return stored, err
	}
	stored.Snapshot = &rpc.Snapshot{}
	if err = proto.Unmarshal(snapshot, stored.Snapshot); err != nil {
		return stored, err
	}
	hard, err := s.get(hardKey(group))
	if err != nil {
		return stored, err
	}
	stored.HardState = &rpc.HardState{}
	if err = proto.Unmarshal(hard, stored.HardState); err != nil {
		return stored, err
	}
	next := stored.Snapshot.Index + 1
	err = s.db.View(func(tx *buntdb.Tx) error {
		var failed error
		err := tx.AscendKeys("group/"+group+"/log/*", func(_, sealed string) bool {
			value, err := unseal(sealed)
			entry := &rpc.Entry{}
			if err == nil {
				err = proto.Unmarshal(value, entry)
			}
			switch {
			case err != nil:
				failed = err
				return false
			case entry.Index < next:
				return true
			case entry.Index > next:
				failed = ErrDamaged
				return false
			}
			stored.Entries = append(stored.Entries, entry)
			next++
			return true
		})
		return errors.Join(err, failed)
	})
	return stored, err
}

// Save is what is to be stored of one group.
type Save struct {
	Group     string
	HardState *rpc.HardState
	Snapshot  *rpc.Snapshot
	Entries   []*rpc.Entry
	LastIndex uint64 // before Entries, that the store holds
	FirstKept uint64 // before Snapshot, that the store holds
}

// Persist stores all of it with one sync.
func (s *Store) Persist(saves []Save) error {
	err := s.db.Update(func(tx *buntdb.Tx) error {
		for _, save := range saves {
			if err := s.persist(tx, save); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && s.written > rewriteAfter && s.written > 2*s.live {
		err = s.rewrite()
	}
	return err
}

func (s *Store) persist(tx *buntdb.Tx, save Save) error {
	if save.HardState != nil {
		if err := s.setMessage(tx, hardKey(save.Group), save.HardState); err != nil {
			return err
		}
	}
	if save.Snapshot != nil {
		if err := s.setMessage(tx, snapshotKey(save.Group), save.Snapshot); err != nil {
			return err
		}
		for index := save.FirstKept; index <= save.Snapshot.Index && index <= save.LastIndex; index++ {
			if err := s.remove(tx, entryKey(save.Group, index)); err != nil {
				return err
			}
		}
	}
	for _, entry := range save.Entries {
		if err := s.setMessage(tx, entryKey(save.Group, entry.Index), entry); err != nil {
			return err
		}
	}
	if n := len(save.Entries); n > 0 {
		for index := save.Entries[n-1].Index + 1; index <= save.LastIndex; index++ {
			if err := s.remove(tx, entryKey(save.Group, index)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Store) setMessage(tx *buntdb.Tx, key string, m proto.Message) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return s.set(tx, key, value)
}

func (s *Store) remove(tx *buntdb.Tx, key string) error {
	_, err := tx.Delete(key)
	s.forget(key)
	if errors.Is(err, buntdb.ErrNotFound) {
		return nil
	}
	return err
}

// rewrite puts what is still of use into a new file, which takes the old one's place once it is whole on disk.
func (s *Store) rewrite() error {
	path := filepath.Join(s.folder, rewriteName)
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = s.db.Save(f)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		os.Remove(path)
		return fmt.Errorf("replica: rewrite store: %w", err)
	}
	if err := s.db.Close(); err != nil {
		return err
	}
	if err := os.Rename(path, s.path()); err != nil {
		return err
	}
	return s.open()
}

// cutTornTail cuts a file behind its last whole record.
func cutTornTail(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	whole, err := wholeLength(bufio.NewReaderSize(f, 256<<10))
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil || info.Size() == whole {
		return err
	}
	if err := f.Truncate(whole); err != nil {
		return err
	}
	return f.Sync()
}

// wholeLength is the length of the whole records at the start of buntdb's append-only file. A record is a command in the Redis protocol.
func wholeLength(r *bufio.Reader) (length int64, err error) {
	for {
		n, words, err := readCommand(r)
		if err != nil {
			if errors.Is(err, errTorn) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
				return length, nil
			}
			return length, err
		}
		if len(words) == 0 || !slices.Contains([]string{"set", "del", "flushdb"}, string(words[0])) {
			return length, nil
		}
		if string(words[0]) == "set" {
			if len(words) < 3 {
				return length, nil
			}
			if _, err := unseal(string(words[2])); err != nil {
				return length, nil
			}
		}
		length += n
	}
}

var errTorn = errors.New("torn record")

const maxWord = 256 << 20

func readCommand(r *bufio.Reader) (length int64, words [][]byte, err error) {
	count, n, err := readNumber(r, '*')
	if err != nil || count < 1 || count > 16 {
		return 0, nil, errors.Join(errTorn, err)
	}
	length = n
	for range count {
		size, n, err := readNumber(r, '$')
		if err != nil || size < 0 || size > maxWord {
			return 0, nil, errors.Join(errTorn, err)
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(r, word); err != nil {
			return 0, nil, err
		}
		if !bytes.HasSuffix(word, []byte("\r\n")) {
			return 0, nil, errTorn
		}
		words = append(words, word[:size])
		length += n + int64(size) + 2
	}
	return length, words, nil
}

func readNumber(r *bufio.Reader, kind byte) (value int, length int64, err error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return 0, 0, err
	}
	if len(line) < 4 || line[0] != kind || line[len(line)-2] != '\r' {
		return 0, 0, errTorn
	}
	value, err = strconv.Atoi(string(line[1 : len(line)-2]))
	return value, int64(len(line)), err
}
