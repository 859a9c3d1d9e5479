package replica

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/tidwall/buntdb"
)

const (
	identityFileName = "facts.db"
	identityKey      = "identity"
	contactKeyPrefix = "met:" // key prefix of the ids of bootstrap members that have sent a message
)

// IdentityStore stores the id that is bound to a disk. It is separate from the Store, so that the
// id is known before any group is. It is safe for concurrent use.
type IdentityStore struct{ db *buntdb.DB }

// OpenIdentityStore opens the identity store in a directory, which it creates if necessary. The
// caller must close the store.
func OpenIdentityStore(path string) (*IdentityStore, error) {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return nil, err
	}
	db, err := buntdb.Open(filepath.Join(path, identityFileName))
	if err != nil {
		return nil, fmt.Errorf("replica: open identity store: %w", err)
	}
	err = db.SetConfig(buntdb.Config{SyncPolicy: buntdb.Always, AutoShrinkDisabled: true})
	if err == nil {
		err = folder(path).Sync()
	}
	if err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return &IdentityStore{db}, nil
}

// Close closes the database file.
func (s *IdentityStore) Close() error { return s.db.Close() }

// Identity returns the id that is bound to this disk; empty if there is none yet.
func (s *IdentityStore) Identity() (id string, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		id, err = tx.Get(identityKey)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		return err
	})
	return id, err
}

// RecordContact records that a message of a bootstrap member has arrived. The record is durable
// when RecordContact returns without an error. A known bootstrap member causes no write.
func (s *IdentityStore) RecordContact(bootstrapMember string) error {
	if contacted, err := s.HasContact(bootstrapMember); contacted || err != nil {
		return err
	}
	return s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(contactKeyPrefix+bootstrapMember, "1", nil)
		return err
	})
}

// HasContact reports whether a message of a bootstrap member has been recorded.
func (s *IdentityStore) HasContact(bootstrapMember string) (contacted bool, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		_, err := tx.Get(contactKeyPrefix + bootstrapMember)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		contacted = err == nil
		return err
	})
	return contacted, err
}

// SetIdentity binds an id to this disk. The id is durable when SetIdentity returns without an
// error.
func (s *IdentityStore) SetIdentity(id string) error {
	return s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(identityKey, id, nil)
		return err
	})
}
