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
	metPrefix        = "met:" // before the id of a founder that has sent a message
)

// IdentityStore keeps the id that is bound to a disk. It is separate from the Store, so that the id is known before any group is. Its methods may
// be called by any goroutine.
type IdentityStore struct{ db *buntdb.DB }

// OpenIdentityStore opens the identity store in a folder, and makes the folder if there is none. The caller has to close it.
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

// Close closes the file.
func (s *IdentityStore) Close() error { return s.db.Close() }

// Identity returns the id that is bound to this disk; empty if none is yet.
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

// RecordContact records that a message of a founder has arrived. It is durable when RecordContact returns without an error. What is recorded already
// takes no write.
func (s *IdentityStore) RecordContact(founder string) error {
	if met, err := s.HasContact(founder); met || err != nil {
		return err
	}
	return s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(metPrefix+founder, "1", nil)
		return err
	})
}

// HasContact reports whether a message of a founder was recorded.
func (s *IdentityStore) HasContact(founder string) (met bool, err error) {
	err = s.db.View(func(tx *buntdb.Tx) error {
		_, err := tx.Get(metPrefix + founder)
		if errors.Is(err, buntdb.ErrNotFound) {
			return nil
		}
		met = err == nil
		return err
	})
	return met, err
}

// SetIdentity binds an id to this disk. The id is durable when it returns without an error.
func (s *IdentityStore) SetIdentity(id string) error {
	return s.db.Update(func(tx *buntdb.Tx) error {
		_, _, err := tx.Set(identityKey, id, nil)
		return err
	})
}
